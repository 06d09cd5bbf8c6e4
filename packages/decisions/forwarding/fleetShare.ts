import type { Millis } from '../../core/clock.js';

/** What a daemon knows of the fleet with which it shares a limit. */
export interface FleetKnowledge {
  /** Number of daemons that share the limit, including this one. */
  readonly daemons: number;
  /** `unknown` while this daemon has heard of none of the others that its settings name. */
  readonly contact: 'known' | 'unknown';
}

/**
 * Computes the part of a fixed allowance that one daemon may use within a window. A daemon uses none
 * of it before it has counted for a whole window, since an earlier life of its process may have used
 * that part, and none while it does not know the fleet.
 *
 * @param allowance - allowance of all daemons together in each window
 * @param windowMs - time for which a use counts
 * @param countedMs - time for which this daemon has counted its own use
 * @param fleet - what this daemon knows of the others
 * @returns its part
 */
export const computeFleetShare = (
  allowance: number,
  windowMs: Millis,
  countedMs: Millis,
  { contact, daemons }: FleetKnowledge,
): number => (contact === 'unknown' || countedMs < windowMs ? 0 : allowance / Math.max(1, daemons));
