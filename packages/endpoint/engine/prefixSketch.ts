import { MAX_PREFIXES } from './constants.js';
import type { PrefixSketch } from './types.js';
import type { CacheEvent } from '../types.js';

/**
 * Creates the sketch of an engine whose cache is unknown.
 *
 * @returns an empty sketch
 */
export const createPrefixSketch = (): PrefixSketch => ({
  prefixes: new Set(),
  next: 0,
  gaps: 0,
  newestAt: 0,
});

/**
 * Applies cache events. A jump in the sequence counts as a gap and nothing is guessed about it.
 *
 * @param sketch - sketch so far
 * @param events - events in the order of their sequence
 * @param next - first sequence number to ask for next
 * @returns the next sketch
 */
export const applyCacheEvents = (
  sketch: PrefixSketch,
  events: readonly CacheEvent[],
  next: number,
): PrefixSketch => {
  if (events.length === 0) return next === sketch.next ? sketch : { ...sketch, next };
  const prefixes = new Set(sketch.prefixes);
  let { next: expected, gaps, newestAt } = sketch;
  for (const event of events) {
    if (event.sequence > expected) gaps += event.sequence - expected;
    expected = event.sequence + 1;
    newestAt = Math.max(newestAt, event.at);
    prefixes.delete(event.prefix);
    if (event.kind === 'stored') prefixes.add(event.prefix);
  }
  const kept = [...prefixes].slice(-MAX_PREFIXES);
  return { prefixes: new Set(kept), next: Math.max(next, expected), gaps, newestAt };
};
