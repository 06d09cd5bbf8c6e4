import type { FeedName } from '../types.js';
import type { Millis } from '../../core/clock.js';

/**
 * Time between two reads of all daemons together. Each daemon's own reads are as many times apart as
 * there are daemons, so that the store is not read more often by a larger fleet: what one daemon
 * learns of leaving endpoints it tells the others.
 */
export const READ_SPACING_MS: Readonly<Record<FeedName, Millis>> = {
  operator: 350,
  registrations: 110,
};

/** Shortest time for which the store may hold a read back. */
export const MIN_FEED_WAIT_MS = 1_000;

/** How long the store may hold a read of registrations back; endpoints write all the time. */
export const REGISTRATIONS_WAIT_MS = 1_000;

/** Pause after a read that brought configurations or orders. */
export const OPERATOR_PAUSE_MS = 20;

/** Shortest pause after a read that brought registrations, which come about once a second each. */
export const MIN_REGISTRATIONS_PAUSE_MS = 350;

/** Part of the time to learn that an endpoint leaves which a pause may take. */
export const MAX_PAUSE_SHARE = 0.3;

/**
 * Time for an overdue answer and the next read, on top of a wait on a silent connection: all of it has
 * to fit into the time after a disturbance within which bounds do not hold.
 */
export const SILENT_READ_MARGIN_MS = 1_500;

/** Pause after a failed read. */
export const FEED_RETRY_MS = 250;

/** Time after the store's return within which lapsed registrations are back. */
export const REREGISTRATION_GRACE_MS = 2_500;

/**
 * Silence of the registrations, beyond the pause between reads, after which the store may be away:
 * the endpoints together write several times in it.
 */
export const FEED_SILENCE_MS = 400;
