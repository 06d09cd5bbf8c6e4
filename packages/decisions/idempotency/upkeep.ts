import {
  CARRY_FORWARD_CYCLE_MS,
  EXPIRY_SWEEP_MS,
  MIN_CARRIED_CHAINS,
  MIN_EXPIRY_VISITS,
} from './constants.js';
import type { Millis } from '../../core/clock.js';

/** Work of one upkeep round. */
export interface UpkeepPlan {
  /** Number of chains to check for expiry. */
  readonly expiryVisits: number;
  /** Maximum number of chains to carry forward. */
  readonly maxCarried: number;
}

/**
 * Plans the work of one upkeep round in proportion to the size of the table. With a fixed number of
 * chains per round, a large table would gain keys faster than expired ones are removed, and
 * retention would drop chains before they are carried forward.
 *
 * @param chains - number of chains in the table
 * @param periodMs - time between two rounds in milliseconds
 * @returns the number of chains to visit and to carry forward
 */
export const planUpkeep = (chains: number, periodMs: Millis): UpkeepPlan => ({
  expiryVisits: Math.max(MIN_EXPIRY_VISITS, Math.ceil((chains * periodMs) / EXPIRY_SWEEP_MS)),
  maxCarried: Math.max(MIN_CARRIED_CHAINS, Math.ceil((chains * periodMs) / CARRY_FORWARD_CYCLE_MS)),
});
