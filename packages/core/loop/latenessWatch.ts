import { LATE_TIMER_MS } from './constants.js';
import type { LoopLateness } from './types.js';
import type { Millis } from '../clock.js';

/** Observer of timers that come late. */
export interface LatenessWatch {
  /** Records that a timer fired, and how late it was. */
  readonly recordTimer: (now: Millis, lateMs: Millis) => void;
}

/** Time between two reports, and between two samples of the processor time. */
const REPORT_SPACING_MS: Millis = 1_000;
const SAMPLE_SPACING_MS: Millis = 100;

const MICROS_PER_MILLI = 1_000;

const readOwnProcessorMs = (): Millis => {
  const { system, user } = process.cpuUsage();
  return (system + user) / MICROS_PER_MILLI;
};

/**
 * Creates an observer that tells a busy process from one that was paused or waited for a processor: the
 * latter two have used none.
 *
 * @param onLate - receives a report on a late timer, once a second at most
 * @param readProcessorMs - reads the processor time of this process, all threads included
 * @returns the observer
 */
export const createLatenessWatch = (
  onLate: (lateness: LoopLateness) => void,
  readProcessorMs: () => Millis = readOwnProcessorMs,
): LatenessWatch => {
  let sampledAt: Millis = -Infinity;
  let sampledMs: Millis = 0;
  let reportedAt: Millis = -Infinity;

  const report = (now: Millis, lateMs: Millis): void => {
    if (sampledAt === -Infinity || now - reportedAt < REPORT_SPACING_MS) return;
    reportedAt = now;
    onLate({
      lateMs: Math.round(lateMs),
      processorMs: Math.round(readProcessorMs() - sampledMs),
      sinceMs: Math.round(now - sampledAt),
    });
  };

  return {
    recordTimer: (now, lateMs) => {
      if (lateMs > LATE_TIMER_MS) report(now, lateMs);
      if (now - sampledAt < SAMPLE_SPACING_MS) return;
      sampledAt = now;
      sampledMs = readProcessorMs();
    },
  };
};
