import type { Candidate } from './placeAttempt.js';
import type { Millis } from '../../core/clock.js';

/**
 * Finds when the first endpoint returns of a service whose endpoints all rest, return or leave.
 *
 * @param candidates - endpoints of the service
 * @returns the earliest instant at which one takes a request; null while another one may take it, or
 * when all leave
 */
export const findEarliestReturn = (candidates: readonly Candidate[]): Millis | null => {
  let earliest: Millis | null = null;
  for (const { record, restGate } of candidates) {
    if (record.phase === 'leaving') continue;
    if (restGate === null || restGate.headroom > 0) return null;
    earliest = Math.min(earliest ?? Infinity, restGate.opensAt);
  }
  return earliest;
};
