import type { Batch } from './batch.js';
import type { CacheLog } from './cacheLog.js';
import type { RequestCounts } from './requestCounts.js';
import type { ActiveFault } from '../faults.js';
import type { EngineSettings } from '../types.js';
import type { Millis } from '../../../core/clock.js';
import type { RandomSource } from '../../../core/random.js';

/** Inputs of the scheduler's decisions that are not part of its state. */
export interface SchedulerEnvironment {
  readonly now: () => Millis;
  readonly random: RandomSource;
  readonly createStartId: () => string;
}

/** Statistics since the stand-in started; they are kept when the engine restarts. */
export interface SchedulerStats {
  readonly started: number;
  readonly startedByVersion: Readonly<Record<string, number>>;
  readonly finished: number;
  readonly cancelled: number;
  readonly refused: number;
  /** Sequences lost by a restart or a crash. */
  readonly lost: number;
  readonly tokens: number;
  readonly preemptions: number;
  /** Total time from preemptions to the next token of the preempted sequences. */
  readonly stalledMs: Millis;
  /** Submissions that exceeded the concurrency limit of a cold engine. */
  readonly overloadedWhileCold: number;
  /** Largest number of sequences in a step. */
  readonly maxRunning: number;
  /** Largest share of memory that sequences used in a step. */
  readonly maxMemoryShare: number;
  readonly restarts: number;
}

/** Load figures at one instant. */
export interface LoadFigures {
  readonly startId: string;
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
  readonly memoryTotalTokens: number;
  readonly cachedTokens: number;
  readonly tokensPerSecond: number;
  readonly preemptions: number;
  readonly at: Millis;
}

/** Whether a step is running, with its number and its planned end. */
export type StepPhase =
  | { readonly kind: 'idle' }
  | { readonly kind: 'stepping'; readonly number: number; readonly dueAt: Millis };

/** State of the engine. */
export interface SchedulerState {
  readonly settings: EngineSettings;
  /** Identity of the engine since its last start. */
  readonly startId: string;
  /** Version that new sequences are generated with. */
  readonly version: string;
  /** End of the warm-up. */
  readonly readyAt: Millis;
  readonly batch: Batch;
  readonly phase: StepPhase;
  /** Number of steps started. */
  readonly steps: number;
  /** Number of sequences that arrived. */
  readonly arrivals: number;
  /** Until this instant, steps are slowed down by `collapseFactor`. */
  readonly collapsedUntil: Millis;
  /** Until this instant, no step ends and no load figures are published. */
  readonly frozenUntil: Millis;
  readonly faults: readonly ActiveFault[];
  readonly cacheLog: CacheLog;
  readonly stats: SchedulerStats;
  readonly requestCounts: RequestCounts;
  /** Load figures that `/load` reports. */
  readonly published: LoadFigures;
  /** Token count at the last publication; the token rate is computed from it. */
  readonly tokensPublished: number;
}
