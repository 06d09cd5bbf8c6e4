import type { Batch } from './batch.js';
import type { CacheLog } from './cacheLog.js';
import type { RequestCounts } from './requestCounts.js';
import type { ActiveFault } from '../faults.js';
import type { EngineSettings } from '../types.js';
import type { Millis } from '../../../core/clock.js';
import type { RandomSource } from '../../../core/random.js';

/** What the scheduler takes from outside its state. */
export interface SchedulerEnvironment {
  readonly now: () => Millis;
  readonly random: RandomSource;
  readonly createStartId: () => string;
}

/** Counts since the stand-in started; restarts of the engine keep them. */
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
  readonly stalledMs: Millis;
  readonly overloadedWhileCold: number;
  readonly maxRunning: number;
  /** Largest share of memory that sequences held at the end of a step. */
  readonly maxMemoryShare: number;
  readonly restarts: number;
}

/** Load figures as they were at one instant. */
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

export type StepPhase =
  | { readonly kind: 'idle' }
  | { readonly kind: 'stepping'; readonly number: number; readonly dueAt: Millis };

/** State of the engine: its identity, its batch and its faults. */
export interface SchedulerState {
  readonly settings: EngineSettings;
  readonly startId: string;
  readonly version: string;
  /** End of the warm-up. */
  readonly readyAt: Millis;
  readonly batch: Batch;
  readonly phase: StepPhase;
  readonly steps: number;
  readonly arrivals: number;
  readonly collapsedUntil: Millis;
  readonly frozenUntil: Millis;
  readonly faults: readonly ActiveFault[];
  readonly cacheLog: CacheLog;
  readonly stats: SchedulerStats;
  readonly requestCounts: RequestCounts;
  readonly published: LoadFigures;
  /** Token count at the last publication, for the token rate. */
  readonly tokensPublished: number;
}
