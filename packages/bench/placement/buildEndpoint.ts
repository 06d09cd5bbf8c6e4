import type { RandomSource } from '../../core/random.js';
import type { EndpointView } from '../../decisions/placement/types.js';

const PREFIXES_PER_ENDPOINT = 32;

/** Settings that all endpoints of a bench share. */
export interface SharedEndpointSettings {
  readonly dataCentres: number;
  readonly tokensPerSecond: number;
}

/**
 * Builds the view of a busy engine endpoint with random load and cached prefixes.
 *
 * @param index - number of the endpoint
 * @param random - random source of its load and prefixes
 * @param shared - settings that all endpoints share
 * @returns the view that placement decides on
 */
export const buildEndpoint = (
  index: number,
  random: RandomSource,
  shared: SharedEndpointSettings,
): EndpointView => ({
  endpoint: `endpoint-${index.toString()}`,
  incarnation: index.toString(),
  dataCentre: `dc-${(index % shared.dataCentres).toString()}`,
  model: 'draft',
  version: 'v1',
  phase: 'serving',
  limit: 300,
  running: 20 + Math.floor(random.next() * 20),
  waiting: 0,
  memoryUsedTokens: 50_000 + random.next() * 40_000,
  memoryTotalTokens: 100_000,
  tokensPerSecond: shared.tokensPerSecond,
  loadAgeMs: random.next() * 500,
  prefixes: new Set(
    Array.from({ length: PREFIXES_PER_ENDPOINT }, () =>
      Math.floor(random.next() * 1_000).toString(),
    ),
  ),
  prefixAgeMs: random.next() * 10_000,
  prefixGaps: 0,
  preemptions: 0,
});
