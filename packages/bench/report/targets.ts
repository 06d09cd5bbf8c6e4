import type { TargetReport } from './types.js';
import {
  CONTROL_STATE_STREAMS,
  MAX_ADDED_FIRST_TOKEN_MS,
  MAX_ADDED_GAP_FRACTION,
  MAX_CONTROL_STATE_BYTES,
} from '../constants.js';
import type { CapacityReport } from '../measureCapacity.js';
import type { Comparison, LatencyReport } from '../measureLatency.js';

const BYTES_PER_MB = 1024 * 1024;

const findComparison = (
  { comparisons }: LatencyReport,
  measure: Comparison['measure'],
  percentile: Comparison['percentile'],
): Comparison => {
  const found = comparisons.find(
    (comparison) => comparison.measure === measure && comparison.percentile === percentile,
  );
  if (found === undefined) throw new Error(`${measure} ${percentile} was not measured`);
  return found;
};

const toResult = (isMet: boolean): TargetReport['result'] => (isMet ? 'met' : 'missed');

/**
 * Compares the latencies with their targets.
 *
 * @param latency - latencies of both routes
 * @returns one row for each target
 * @throws Error when a percentile that a target needs was not measured
 */
export const checkLatency = (latency: LatencyReport): readonly TargetReport[] => {
  const gap = findComparison(latency, 'token-gap', 'p99');
  const firstToken = findComparison(latency, 'first-token', 'p50');
  const streams = latency.streams.toString();
  return [
    {
      target: `less than 5% added to the time between tokens at p99 with ${streams} streams`,
      measured: `${((gap.ratio - 1) * 100).toFixed(2)}%`,
      result: toResult(gap.ratio - 1 < MAX_ADDED_GAP_FRACTION),
    },
    {
      target: `less than 3 ms added to the first token at p50 with ${streams} streams`,
      measured: `${firstToken.addedMs.toFixed(2)} ms`,
      result: toResult(firstToken.addedMs < MAX_ADDED_FIRST_TOKEN_MS),
    },
  ];
};

/**
 * Compares the memory of the entry daemon with its target. The control state is taken as the heap
 * and the external memory; the resident memory also holds the runtime and its code.
 *
 * @param capacity - resource usage at each number of streams
 * @returns one row
 * @throws Error when the number of streams of the target was not measured
 */
export const checkCapacity = ({ holds }: CapacityReport): readonly TargetReport[] => {
  const usage = holds.find(({ streams }) => streams === CONTROL_STATE_STREAMS);
  if (usage === undefined) throw new Error('the number of streams of the target was not measured');
  const { heapMinBytes, externalMaxBytes, rssMaxBytes } = usage.memory;
  const controlStateBytes = heapMinBytes + externalMaxBytes;
  const toMegabytes = (bytes: number): string => (bytes / BYTES_PER_MB).toFixed(1);
  return [
    {
      target: `${CONTROL_STATE_STREAMS.toString()} streams on one entry daemon in less than 128 MB of control state`,
      measured: `${toMegabytes(controlStateBytes)} MB of heap and external memory (whole process ${toMegabytes(rssMaxBytes)} MB)`,
      result: toResult(controlStateBytes < MAX_CONTROL_STATE_BYTES),
    },
  ];
};
