import type { FeedName } from '../types.js';
import type { Millis } from '../../core/clock.js';

/**
 * Target interval between reads of a feed by all daemons together. A daemon multiplies it by the
 * number of daemons, so that the load on the store does not grow with the fleet. A daemon that
 * learns of a leaving endpoint reports it to the others.
 */
export const READ_SPACING_MS: Readonly<Record<FeedName, Millis>> = {
  operator: 350,
  registrations: 110,
};

/** Minimum of the time for which the store may hold a long poll of the operators' records. */
export const MIN_OPERATOR_WAIT_MS = 1_000;

/**
 * Time for which the store may hold a long poll of registrations, which endpoints keep renewing.
 */
export const REGISTRATIONS_WAIT_MS = 1_000;

/** Pause after a read that returned records of operators. */
export const OPERATOR_PAUSE_MS = 20;

/**
 * Minimum pause after a read that returned registrations. Each endpoint renews its registration
 * about once a second.
 */
export const MIN_REGISTRATIONS_PAUSE_MS = 350;

/**
 * Maximum share of `StalenessLimits.leavingMs` that a pause may take. The daemon that reads first
 * that an endpoint leaves reports it to the others, so the pause delays only new endpoints.
 */
export const MAX_PAUSE_SHARE = 0.55;

/**
 * Time after a long poll on a stalled connection in which the overdue answer is detected and the
 * next read completes. The poll and this time together have to fit into `StalenessLimits.outageMs`.
 */
export const STALLED_READ_MARGIN_MS = 1_500;

/** Pause after a failed read. */
export const FEED_RETRY_MS = 250;

/** Time after the store's recovery within which expired registrations are renewed. */
export const REREGISTRATION_GRACE_MS = 2_500;

/**
 * Time for which an operator's order still counts that is missing from the copy from which the store
 * was restored. Operators write lost records again, at an unstated time. Requests to a data centre
 * that has to be empty do more harm than a data centre that stays out too long.
 */
export const MISSING_ORDER_HOLD_MS = 30_000;

/**
 * Time without an answer to a read of registrations, beyond the pause between reads, after which
 * the store may be unavailable. The endpoints together renew their registrations several times
 * within it.
 */
export const FEED_STALENESS_MARGIN_MS = 400;
