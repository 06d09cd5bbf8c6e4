import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Millis } from '../clock.js';

/** Durations are recorded in microseconds, so integer buckets resolve sub-millisecond ones. */
const MICROS_PER_MILLI = 1_000;
/** One hour. */
const HIGHEST_TRACKABLE_MICROS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Histogram of durations. */
export interface LatencyHistogram {
  readonly record: (duration: Millis) => void;
  /** Returns the duration at a quantile from 0 to 1, in milliseconds. */
  readonly getQuantile: (quantile: number) => Millis;
  readonly getCount: () => number;
  readonly getMean: () => Millis;
  readonly getMax: () => Millis;
}

/**
 * Creates a histogram of durations up to one hour; longer ones count as one hour.
 *
 * @returns the empty histogram
 */
export const createLatencyHistogram = (): LatencyHistogram => {
  const histogram: Histogram = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TRACKABLE_MICROS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return {
    record: (duration) => {
      const micros = Math.round(Math.max(0, duration) * MICROS_PER_MILLI);
      histogram.recordValue(Math.min(micros, HIGHEST_TRACKABLE_MICROS));
    },
    getQuantile: (quantile) => histogram.getValueAtPercentile(quantile * 100) / MICROS_PER_MILLI,
    getCount: () => histogram.totalCount,
    getMean: () => histogram.mean / MICROS_PER_MILLI,
    getMax: () => histogram.maxValue / MICROS_PER_MILLI,
  };
};
