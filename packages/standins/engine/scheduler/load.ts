import { countUsedTokens } from './batch.js';
import { countCachedTokens } from './prefixCache.js';
import type { LoadFigures, SchedulerState } from './types.js';
import type { EngineHealth } from '../types.js';
import type { Millis } from '../../../core/clock.js';

/**
 * Computes the current load figures.
 *
 * @param state - state of the engine
 * @param now - current instant
 * @returns the figures; the token rate is the mean since the last publication
 */
export const computeLoad = (state: SchedulerState, now: Millis): LoadFigures => {
  const seconds = (now - state.published.at) / 1_000;
  const tokens = state.stats.tokens - state.tokensPublished;
  return {
    startId: state.startId,
    running: state.batch.running.length,
    waiting: state.batch.waiting.length,
    memoryUsedTokens: countUsedTokens(state.batch.running),
    memoryTotalTokens: state.settings.memoryTokens,
    cachedTokens: countCachedTokens(state.batch.cache),
    tokensPerSecond: seconds > 0 ? tokens / seconds : 0,
    preemptions: state.stats.preemptions,
    at: now,
  };
};

/**
 * Computes the status that the engine reports on `/health`.
 *
 * @param state - state of the engine
 * @param now - current instant
 * @returns the status; a `set-health` fault overrides the engine's own
 */
export const computeHealth = (state: SchedulerState, now: Millis): EngineHealth => {
  for (const { fault } of state.faults) if (fault.kind === 'set-health') return fault.health;
  return now < state.readyAt ? 'warming' : 'ready';
};
