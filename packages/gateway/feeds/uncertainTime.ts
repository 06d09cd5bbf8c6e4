import { REREGISTRATION_GRACE_MS } from './constants.js';
import type { ReadScope } from './changes.js';
import type { FeedState } from './feedState.js';
import type { Millis } from '../../core/clock.js';

/** Time in which registrations may be missing although their endpoints run. */
export interface UncertainTime {
  /** Instant at which the store was available again or had been restored. */
  readonly since: Millis;
  readonly until: Millis;
}

/**
 * Computes in which time removals are uncertain. After an outage it ends when the time after a
 * disruption is over at the latest, counted from the newest evidence of the outage: from then on a
 * removed endpoint must not get requests.
 *
 * @param state - state of the feed before the read
 * @param scope - which records the read returned
 * @param now - instant of the read
 * @param outageMs - time after a disruption
 * @returns the time, which is over if removals are certain
 */
export const computeUncertainTime = (
  { failingSince, lastFailedAt, uncertain }: FeedState,
  scope: ReadScope,
  now: Millis,
  outageMs: Millis,
): UncertainTime => {
  if (failingSince === null && scope !== 'restored') return uncertain;
  const renewedAt = now + REREGISTRATION_GRACE_MS;
  const until = scope === 'restored' ? renewedAt : Math.min(renewedAt, lastFailedAt + outageMs);
  return { since: now, until: Math.max(uncertain.until, until) };
};
