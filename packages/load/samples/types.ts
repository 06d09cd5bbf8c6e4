import type { Millis } from '../../core/clock.js';

/** Counters of an engine stand-in. */
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

/** Counters of the engines that answered one round of sampling. */
export interface Sample {
  readonly at: Millis;
  readonly counters: readonly EngineCounters[];
}

/** A scheduled action that was performed or failed. */
export interface PerformedAction {
  readonly plannedMs: Millis;
  /** Time of completion. Actions run concurrently, because one may have to wait for a later one. */
  readonly at: Millis;
  readonly action: string;
  /** Error message of a failed action; empty after success. */
  readonly error: string;
}
