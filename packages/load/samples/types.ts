import type { Millis } from '../../core/clock.js';

/** Counters of one engine stand-in. */
export interface EngineCounters {
  readonly engine: string;
  readonly startId: string;
  readonly running: number;
  readonly waiting: number;
  readonly memoryShare: number;
  readonly started: number;
  readonly startedByVersion: Readonly<Record<string, number>>;
  readonly tokens: number;
  readonly preemptions: number;
  readonly stalledMs: Millis;
  readonly overloadedWhileCold: number;
  readonly maxRunning: number;
}

/** Counters of all engines that answered at one time. */
export interface Sample {
  readonly at: Millis;
  readonly counters: readonly EngineCounters[];
}

/** Scheduled action that was carried out. */
export interface PerformedAction {
  readonly plannedMs: Millis;
  /** When it was done; actions run side by side, as one may have to wait for the next. */
  readonly at: Millis;
  readonly action: string;
  /** Why it could not be carried out; empty when it was. */
  readonly error: string;
}
