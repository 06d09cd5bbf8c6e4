import type { PlacementPolicy } from './types.js';

/** Policy of a daemon whose settings name none; the values are based on crowded.bench.ts. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicy = {
  kind: 'predicted-headroom',
  choices: 4,
  horizonMs: 60_000,
  overflowProbability: 0.005,
  prefixWeight: 0.1,
};

/** Share of slots and memory reserved for critical classes, so that they do not have to wait. */
export const CRITICAL_RESERVE_SHARE = 0.05;

/**
 * Lowest limit at which a slot is reserved for critical classes. At lower limits the reserve would
 * take up to half of a cold endpoint's slots.
 */
export const MIN_LIMIT_FOR_RESERVE = 4;

/** Score bonus of the same data centre, as a share of memory; decides only near-ties. */
export const SAME_DATA_CENTRE_BONUS = 0.02;

/**
 * Time constant of the prefix bonus: the bonus falls to 1/e at this age of the newest cache event,
 * since engines publish cache events late.
 */
export const PREFIX_DECAY_MS = 20_000;

/** Factor on the prefix bonus per lost cache event, which may have been the prefix's eviction. */
export const PREFIX_GAP_FACTOR = 0.7;

/** Maximum number of endpoints checked per requested choice, when sampled ones lack free memory. */
export const MAX_CHECKS_PER_CHOICE = 4;

/**
 * Maximum number of endpoints whose free slots are checked for one request. Checking 512 full
 * endpoints took 94 us (p99), and under overload every waiting request repeats the check.
 */
export const MAX_SLOT_CHECKS = 128;

/** Assumed tokens per second of one sequence when the engine reports no speed yet. */
export const DEFAULT_SEQUENCE_TOKENS_PER_SECOND = 30;

/** Longest extrapolation of a load report; beyond this age membership suspects the endpoint. */
export const MAX_EXTRAPOLATION_MS = 1_500;

/**
 * Progress after which a placement's forecast is refreshed, as a share of the tokens generated at
 * the last forecast.
 */
export const FORECAST_REFRESH_SHARE = 0.125;

/** Minimum progress in tokens between two refreshes of a placement's forecast. */
export const FORECAST_REFRESH_TOKENS = 16;

/**
 * Factor on the accepted overflow probability for critical classes, and the upper bound of the
 * product.
 */
export const CRITICAL_OVERFLOW_FACTOR = 20;
export const MAX_ACCEPTED_OVERFLOW = 0.2;

/**
 * Strides by which endpoints are sampled. A prime larger than any fleet visits every endpoint once
 * without a shuffled copy of the list.
 */
export const SAMPLING_STRIDES: readonly number[] = [
  100_003, 100_019, 100_043, 100_049, 100_057, 100_069, 100_103, 100_109, 100_129, 100_151, 100_153,
  100_169, 100_183, 100_189, 100_193, 100_207,
];
