import type { PlacementPolicy } from './types.js';

/** Policy of a daemon whose settings name none; the figures come from crowded.bench.ts. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicy = {
  kind: 'predicted-headroom',
  choices: 4,
  horizonMs: 60_000,
  overflowProbability: 0.005,
  prefixWeight: 0.1,
};

/** Share of slots and memory that only critical classes may use, so that they need not wait. */
export const CRITICAL_RESERVE_SHARE = 0.05;

/** Limit from which on a slot is kept for critical classes; below, a kept slot would halve a cold endpoint. */
export const MIN_LIMIT_FOR_RESERVE = 4;

/** Worth of an endpoint in the own data centre, as a share of memory: decides only near-ties. */
export const SAME_DATA_CENTRE_BONUS = 0.02;

/** Age at which knowledge of a cached prefix is worth 1/e: engines publish cache events late. */
export const PREFIX_DECAY_MS = 20_000;

/** Factor on the worth of a cached prefix per lost cache event; an eviction may be among them. */
export const PREFIX_GAP_FACTOR = 0.7;

/** Endpoints tested for one request per requested choice, when sampled ones have no room. */
export const MAX_CHECKS_PER_CHOICE = 4;

/**
 * Endpoints whose slots are counted for one request. Counting all of 512 full ones took 94 us (p99),
 * and under overload every waiting request asks again.
 */
export const MAX_SLOT_CHECKS = 128;

/** Speed assumed for an engine that reports none yet, in tokens per second for one sequence. */
export const DEFAULT_SEQUENCE_TOKENS_PER_SECOND = 30;

/** Load reports older than this are not extrapolated further; membership suspects the endpoint. */
export const MAX_EXTRAPOLATION_MS = 1_500;

/** Progress between two updates of a placement's forecast, as a share of its tokens. */
export const FORECAST_REFRESH_SHARE = 0.125;

/** Tokens of progress below which a placement's forecast is not updated. */
export const FORECAST_REFRESH_TOKENS = 16;

/** Factor on the accepted overflow probability for critical classes, and its upper bound. */
export const CRITICAL_OVERFLOW_FACTOR = 20;
export const MAX_ACCEPTED_OVERFLOW = 0.2;

/**
 * Steps by which endpoints are sampled. Primes above any fleet size visit every endpoint once and
 * need no shuffled copy of the list.
 */
export const SAMPLING_STRIDES: readonly number[] = [
  100_003, 100_019, 100_043, 100_049, 100_057, 100_069, 100_103, 100_109, 100_129, 100_151, 100_153,
  100_169, 100_183, 100_189, 100_193, 100_207,
];
