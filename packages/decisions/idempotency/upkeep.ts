import {
  CARRY_FORWARD_CYCLE_MS,
  EXPIRY_SWEEP_MS,
  MIN_CARRIED_CHAINS,
  MIN_EXPIRY_VISITS,
} from './constants.js';
import type { Millis } from '../../core/clock.js';

/** Work of one round of upkeep. */
export interface UpkeepPlan {
  /** Chains to look at for expired keys. */
  readonly visits: number;
  /** Chains to carry forward at most. */
  readonly carried: number;
}

/**
 * Plans the work of one round of upkeep. It grows with the table: a fixed number of chains per round
 * lets a table of many keys grow faster than it is cleared, and lets retention drop chains before
 * they are carried.
 *
 * @param chains - chains in the table
 * @param periodMs - time between two rounds in milliseconds
 * @returns the plan
 */
export const planUpkeep = (chains: number, periodMs: Millis): UpkeepPlan => ({
  visits: Math.max(MIN_EXPIRY_VISITS, Math.ceil((chains * periodMs) / EXPIRY_SWEEP_MS)),
  carried: Math.max(MIN_CARRIED_CHAINS, Math.ceil((chains * periodMs) / CARRY_FORWARD_CYCLE_MS)),
});
