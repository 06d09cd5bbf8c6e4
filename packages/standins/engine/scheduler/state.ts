import { EMPTY_CACHE_LOG, appendCacheEvents } from './cacheLog.js';
import type { CacheChange } from './prefixCache.js';
import { createRequestCounts } from './requestCounts.js';
import type { Batch } from './batch.js';
import type { SchedulerEnvironment, SchedulerState, SchedulerStats } from './types.js';
import type { EngineEffect, EngineSettings } from '../types.js';
import type { Step } from '../../../core/step.js';

/** Result of a decision of the scheduler. */
export type SchedulerStep = Step<SchedulerState, EngineEffect>;

/** Batch of an engine that has just started. */
export const EMPTY_BATCH: Batch = { running: [], waiting: [], cache: [] };

const EMPTY_STATS: SchedulerStats = {
  started: 0,
  startedByVersion: {},
  finished: 0,
  cancelled: 0,
  refused: 0,
  lost: 0,
  tokens: 0,
  preemptions: 0,
  stalledMs: 0,
  overloadedWhileCold: 0,
  maxRunning: 0,
  maxMemoryShare: 0,
  restarts: 0,
};

/**
 * Replaces the values of some statistics.
 *
 * @param state - state of the engine
 * @param changes - new values
 * @returns the state with the new values
 */
export const updateStats = (
  state: SchedulerState,
  changes: Partial<SchedulerStats>,
): SchedulerState => ({
  ...state,
  stats: { ...state.stats, ...changes },
});

/**
 * Records changes of the prefix cache as cache events.
 *
 * @param state - state of the engine
 * @param changes - changes in order
 * @param environment - time and random numbers
 * @returns the state with the events that were not lost
 */
export const recordCacheChanges = (
  state: SchedulerState,
  changes: readonly CacheChange[],
  environment: SchedulerEnvironment,
): SchedulerState => ({
  ...state,
  cacheLog: appendCacheEvents(
    state.cacheLog,
    changes,
    state.settings.cacheEventLossShare,
    environment.random.next,
    environment.now(),
  ),
});

/**
 * Creates the state of an engine that starts now.
 *
 * @param settings - settings of the engine
 * @param environment - time and start identities
 * @returns the initial state
 */
export const initScheduler = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
): SchedulerState => {
  const now = environment.now();
  const startId = environment.createStartId();
  return {
    settings,
    startId,
    version: settings.version,
    readyAt: now + settings.warmUpMs,
    batch: EMPTY_BATCH,
    phase: { kind: 'idle' },
    steps: 0,
    arrivals: 0,
    collapsedUntil: 0,
    frozenUntil: 0,
    faults: [],
    cacheLog: EMPTY_CACHE_LOG,
    stats: EMPTY_STATS,
    requestCounts: createRequestCounts(),
    published: {
      startId,
      running: 0,
      waiting: 0,
      memoryUsedTokens: 0,
      memoryTotalTokens: settings.memoryTokens,
      cachedTokens: 0,
      tokensPerSecond: 0,
      preemptions: 0,
      at: now,
    },
    tokensPublished: 0,
  };
};
