import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { MAX_MEASURED_MS } from '../constants.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName } from '../../core/ids.js';

/** Statistics of one histogram, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly mean: Millis;
  readonly p50: Millis;
  readonly p95: Millis;
  readonly p99: Millis;
  readonly p999: Millis;
  readonly max: Millis;
}

/** Latencies that are measured for each class. */
export type LatencyName = 'first-token' | 'token-gap' | 'whole-answer' | 'send-delay';

/** Totals of one class. */
export interface ClassTotals {
  readonly stalls: number;
  /** Sum of the gaps that counted as stalls. */
  readonly stallMs: Millis;
  /** Received answer parts: tokens of a stream, one for an answer delivered whole. */
  readonly tokens: number;
}

/**
 * Histograms and totals by class. They are updated in place, because a run records millions of
 * gaps, and only the requests child uses them.
 */
export interface Measures {
  readonly record: (className: ClassName, name: LatencyName, ms: Millis) => void;
  readonly addToken: (className: ClassName) => void;
  readonly addStall: (className: ClassName, ms: Millis) => void;
  readonly getPercentiles: (className: ClassName, name: LatencyName) => Percentiles;
  readonly getTotals: (className: ClassName) => ClassTotals;
}

const MICROS_PER_MILLI = 1_000;

const EMPTY_PERCENTILES: Percentiles = {
  count: 0,
  mean: 0,
  p50: 0,
  p95: 0,
  p99: 0,
  p999: 0,
  max: 0,
};

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MEASURED_MS * MICROS_PER_MILLI,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 32,
    autoResize: false,
    useWebAssembly: false,
  });

const toPercentiles = (histogram: Histogram): Percentiles => {
  const getMillis = (percentile: number): Millis =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  return {
    count: histogram.totalCount,
    mean: histogram.mean / MICROS_PER_MILLI,
    p50: getMillis(50),
    p95: getMillis(95),
    p99: getMillis(99),
    p999: getMillis(99.9),
    max: histogram.maxValue / MICROS_PER_MILLI,
  };
};

/**
 * Creates the histograms and totals of a run.
 *
 * @returns measures without any recorded values
 */
export const createMeasures = (): Measures => {
  const histograms = new Map<string, Histogram>();
  const totals = new Map<ClassName, ClassTotals>();

  const getHistogram = (key: string): Histogram => {
    const existing = histograms.get(key);
    if (existing !== undefined) return existing;
    const created = createHistogram();
    histograms.set(key, created);
    return created;
  };

  const getTotals = (className: ClassName): ClassTotals =>
    totals.get(className) ?? { stalls: 0, stallMs: 0, tokens: 0 };

  return {
    record: (className, name, ms) => {
      const bounded = Math.min(MAX_MEASURED_MS, Math.max(0, ms));
      getHistogram(`${className} ${name}`).recordValue(Math.round(bounded * MICROS_PER_MILLI));
    },
    addToken: (className) => {
      const { stalls, stallMs, tokens } = getTotals(className);
      totals.set(className, { stalls, stallMs, tokens: tokens + 1 });
    },
    addStall: (className, ms) => {
      const { stalls, stallMs, tokens } = getTotals(className);
      totals.set(className, { stalls: stalls + 1, stallMs: stallMs + ms, tokens });
    },
    getPercentiles: (className, name) => {
      const histogram = histograms.get(`${className} ${name}`);
      return histogram === undefined ? EMPTY_PERCENTILES : toPercentiles(histogram);
    },
    getTotals,
  };
};
