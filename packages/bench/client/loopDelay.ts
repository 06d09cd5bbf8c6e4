import { monitorEventLoopDelay } from 'node:perf_hooks';
import { LOOP_DELAY_RESOLUTION_MS } from '../constants.js';
import type { Millis } from '../../core/clock.js';

const NANOS_PER_MILLI = 1_000_000;

/** Delay of the client's event loop beyond the resolution of the measurement. */
export interface LoopDelay {
  readonly p50: Millis;
  readonly p99: Millis;
  readonly max: Millis;
}

/** Measures the delay of this process's event loop. */
export interface LoopDelayMonitor {
  readonly start: () => void;
  readonly stop: () => LoopDelay;
}

/**
 * Creates a monitor of the event loop of this process.
 *
 * @returns the monitor, not started
 */
export const createLoopDelayMonitor = (): LoopDelayMonitor => {
  const histogram = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS });
  const toDelay = (nanos: number): Millis =>
    Math.max(0, nanos / NANOS_PER_MILLI - LOOP_DELAY_RESOLUTION_MS);
  return {
    start: () => {
      histogram.reset();
      histogram.enable();
    },
    stop: () => {
      histogram.disable();
      return {
        p50: toDelay(histogram.percentile(50)),
        p99: toDelay(histogram.percentile(99)),
        max: toDelay(histogram.max),
      };
    },
  };
};
