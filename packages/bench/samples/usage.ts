import type { Sample } from '../types.js';
import type { Millis } from '../../core/clock.js';

const MILLIS_PER_SECOND = 1_000;

/**
 * Computes how many cores a process kept busy on average from the first sample to the last.
 *
 * @param samples - samples of one stage
 * @param getSeconds - returns the processor time of the process in seconds
 * @returns number of cores; 0 with fewer than two samples
 */
export const computeCores = (
  samples: readonly Sample[],
  getSeconds: (sample: Sample) => number,
): number => {
  const first = samples[0];
  const last = samples.at(-1);
  if (first === undefined || last === undefined || first === last) return 0;
  const seconds = (last.at - first.at) / MILLIS_PER_SECOND;
  return (getSeconds(last) - getSeconds(first)) / seconds;
};

/** Minimum and maximum memory of a process over the samples of one stage. */
export interface MemoryUsage {
  readonly rssMaxBytes: number;
  /**
   * Smallest heap of the samples, taken soon after a garbage collection: an upper bound of the
   * memory that the live state takes.
   */
  readonly heapMinBytes: number;
  readonly heapMaxBytes: number;
  readonly externalMaxBytes: number;
}

/**
 * Computes the minimum and maximum memory of the entry daemon over the samples of a stage.
 *
 * @param samples - at least one sample
 * @returns sizes in bytes
 */
export const computeMemory = (samples: readonly Sample[]): MemoryUsage => {
  const listValues = (getBytes: (sample: Sample) => number): readonly number[] =>
    samples.map(getBytes);
  return {
    rssMaxBytes: Math.max(...listValues(({ entry }) => entry.rssBytes)),
    heapMinBytes: Math.min(...listValues(({ entry }) => entry.heapBytes)),
    heapMaxBytes: Math.max(...listValues(({ entry }) => entry.heapBytes)),
    externalMaxBytes: Math.max(...listValues(({ entry }) => entry.externalBytes)),
  };
};

/**
 * Computes the average rate of events.
 *
 * @param count - events within the measured time
 * @param measureMs - measured time
 * @returns events per second
 */
export const computeRate = (count: number, measureMs: Millis): number =>
  (count * MILLIS_PER_SECOND) / measureMs;
