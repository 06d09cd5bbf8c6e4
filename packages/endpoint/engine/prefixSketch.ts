import { MAX_PREFIXES } from './constants.js';
import type { CachedPrefixes } from './types.js';
import type { CacheEvent } from '../types.js';

/**
 * Creates the cached of an engine whose cache is unknown.
 *
 * @returns an empty cached
 */
export const createCachedPrefixes = (): CachedPrefixes => ({
  hashes: new Set(),
  next: 0,
  gaps: 0,
  newestAt: 0,
});

/**
 * Applies cache events. A jump in the sequence counts as a gap and nothing is guessed about it.
 *
 * @param cached - cached so far
 * @param events - events in the order of their sequence
 * @param next - first sequence number to ask for next
 * @returns the next cached
 */
export const applyCacheEvents = (
  cached: CachedPrefixes,
  events: readonly CacheEvent[],
  next: number,
): CachedPrefixes => {
  if (events.length === 0) return next === cached.next ? cached : { ...cached, next };
  const prefixes = new Set(cached.hashes);
  let { next: expected, gaps, newestAt } = cached;
  for (const event of events) {
    if (event.sequence > expected) gaps += event.sequence - expected;
    expected = event.sequence + 1;
    newestAt = Math.max(newestAt, event.at);
    prefixes.delete(event.prefix);
    if (event.kind === 'stored') prefixes.add(event.prefix);
  }
  const kept = [...prefixes].slice(-MAX_PREFIXES);
  return { hashes: new Set(kept), next: Math.max(next, expected), gaps, newestAt };
};
