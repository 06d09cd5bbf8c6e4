import { MAX_PREFIXES } from './constants.js';
import type { CachedPrefixes } from './types.js';
import type { CacheEvent } from '../types.js';

/**
 * Creates the state for an engine whose cache contents are unknown.
 *
 * @returns an empty set of prefixes
 */
export const createCachedPrefixes = (): CachedPrefixes => ({
  hashes: new Set(),
  next: 0,
  gaps: 0,
  newestAt: 0,
});

/**
 * Applies cache events. Skipped sequence numbers are counted as lost events; the prefixes that
 * those events stored or evicted remain unknown.
 *
 * @param cached - cached prefixes before the events
 * @param events - events in the order of their sequence numbers
 * @param next - sequence number from which the next request reads
 * @returns the updated cached prefixes
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
  const newest = [...prefixes].slice(-MAX_PREFIXES);
  return { hashes: new Set(newest), next: Math.max(next, expected), gaps, newestAt };
};
