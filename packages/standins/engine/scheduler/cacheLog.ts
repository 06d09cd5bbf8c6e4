import type { CacheChange } from './prefixCache.js';
import { MAX_CACHE_EVENTS } from '../constants.js';
import type { Millis } from '../../../core/clock.js';

/** Change of the prefix cache as readers see it. */
export interface CacheEvent extends CacheChange {
  readonly sequence: number;
  readonly at: Millis;
}

/** Cache events in order. Sequence numbers have gaps, as a real event channel loses messages. */
export interface CacheLog {
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
}

export const EMPTY_CACHE_LOG: CacheLog = { events: [], nextSequence: 0 };

/**
 * Appends changes of the cache as events, of which a random share is lost.
 *
 * @param log - events so far
 * @param changes - changes in order
 * @param lossShare - share of events that are lost
 * @param draw - returns the next random number in [0, 1)
 * @param now - instant of the changes
 * @returns the log with the events that were not lost
 */
export const appendCacheEvents = (
  log: CacheLog,
  changes: readonly CacheChange[],
  lossShare: number,
  draw: () => number,
  now: Millis,
): CacheLog => {
  if (changes.length === 0) return log;
  const numbered = changes.map((change, index) => ({
    sequence: log.nextSequence + index,
    ...change,
    at: now,
  }));
  const recorded = numbered.filter(() => draw() >= lossShare);
  return {
    events: [...log.events, ...recorded].slice(-MAX_CACHE_EVENTS),
    nextSequence: log.nextSequence + changes.length,
  };
};

/**
 * Reads the events that are old enough to be published.
 *
 * @param log - events so far
 * @param from - first sequence number to return
 * @param lagMs - age at which an event is published
 * @param now - current instant
 * @returns the events and the sequence number from which to continue
 */
export const readCacheEvents = (
  log: CacheLog,
  from: number,
  lagMs: Millis,
  now: Millis,
): { readonly events: readonly CacheEvent[]; readonly next: number } => {
  const events = log.events.filter(({ sequence, at }) => sequence >= from && at <= now - lagMs);
  const last = events.at(-1);
  return { events, next: last === undefined ? from : last.sequence + 1 };
};
