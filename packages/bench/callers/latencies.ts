import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { MAX_MEASURED_MS, SIGNIFICANT_DIGITS } from '../constants.js';
import type { Millis } from '../../core/clock.js';

const MICROS_PER_MILLI = 1_000;

/** Number of samples, mean and percentiles of one histogram; durations are in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly mean: Millis;
  readonly p50: Millis;
  readonly p99: Millis;
  readonly max: Millis;
}

/** Histogram of durations; updated in place, as a run records hundreds of thousands of them. */
export interface LatencyRecorder {
  readonly record: (duration: Millis) => void;
  /** Adds the samples of another recorder to this one. */
  readonly merge: (other: LatencyRecorder) => void;
  readonly getPercentiles: () => Percentiles;
  readonly getHistogram: () => Histogram;
}

/**
 * Creates an empty recorder of durations with microsecond resolution.
 *
 * @returns the recorder
 */
export const createLatencyRecorder = (): LatencyRecorder => {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MEASURED_MS * MICROS_PER_MILLI,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const getPercentile = (percentile: number): Millis =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  return {
    record: (duration) => {
      const boundedMs = Math.min(MAX_MEASURED_MS, Math.max(0, duration));
      histogram.recordValue(Math.round(boundedMs * MICROS_PER_MILLI));
    },
    merge: (other) => {
      histogram.add(other.getHistogram());
    },
    getPercentiles: () => ({
      count: histogram.totalCount,
      mean: histogram.totalCount === 0 ? 0 : histogram.mean / MICROS_PER_MILLI,
      p50: getPercentile(50),
      p99: getPercentile(99),
      max: histogram.maxValue / MICROS_PER_MILLI,
    }),
    getHistogram: () => histogram,
  };
};

/**
 * Merges recorders into a new one.
 *
 * @param recorders - recorders of several runs
 * @returns a recorder with the samples of all recorders
 */
export const mergeRecorders = (recorders: readonly LatencyRecorder[]): LatencyRecorder => {
  const merged = createLatencyRecorder();
  for (const recorder of recorders) merged.merge(recorder);
  return merged;
};
