import type { Millis } from '../../core/clock.js';

/** What a daemon knows of the fleet with which it shares a limit. */
export interface FleetKnowledge {
  /** Number of daemons that share the limit, including this one. */
  readonly daemons: number;
  /** `unknown` while this daemon has heard of none of the others that its settings name. */
  readonly contact: 'known' | 'unknown';
}

/** What a daemon has heard since its start. */
export interface HeardFleet {
  /** Number of daemons of which it has heard, including itself. */
  readonly daemons: number;
  /** Largest size of the fleet that another daemon reported. */
  readonly reportedSize: number;
  /** Number of daemons that its settings name and of which it has heard nothing. */
  readonly unheardSeeds: number;
}

/**
 * Estimates the size of the fleet. Daemons find each other through those that the settings name, so
 * each side of a partition whose daemons have all been started in it has heard one of these at least,
 * and there are no more other sides than named daemons that it has not heard. With this estimate the
 * parts of all sides add up to no more than the allowance.
 *
 * @param heard - what this daemon has heard
 * @returns a number of daemons that is not too small for the part of this daemon
 */
export const estimateFleetSize = ({ daemons, reportedSize, unheardSeeds }: HeardFleet): number =>
  Math.max(reportedSize, daemons * (1 + unheardSeeds));

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
