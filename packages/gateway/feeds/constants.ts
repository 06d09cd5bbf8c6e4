import type { FeedName } from '../types.js';
import type { Millis } from '../../core/clock.js';

/**
 * How long the store may hold a read back. A connection that fell silent shows only when the answer
 * is overdue, so this also bounds how late that is noticed.
 */
export const FEED_WAIT_MS: Readonly<Record<FeedName, Millis>> = {
  operator: 1_000,
  registrations: 1_000,
};

/**
 * Pause after a read that brought records. Each endpoint writes its registration about once a
 * second, and reads are priced, so several changes are taken in one read.
 */
export const FEED_PAUSE_MS: Readonly<Record<FeedName, Millis>> = {
  operator: 20,
  registrations: 350,
};

/** Daemons up to which each reads at this pace; more of them read more slowly. */
export const FEED_DAEMONS = 8;

/**
 * Bounds of the slower pace: a leaving endpoint and a new configuration have to be known within two
 * seconds, also when a connection has fallen silent.
 */
export const MAX_FEED_PAUSE_MS = 900;
export const MAX_FEED_WAIT_MS = 2_000;

/** Pause after a failed read. */
export const FEED_RETRY_MS = 250;

/** Time after the store's return within which lapsed registrations are back. */
export const RETURN_GRACE_MS = 2_500;

/**
 * Silence of the registrations, beyond the pause between reads, after which the store may be away:
 * the endpoints together write several times in it.
 */
export const FEED_SILENCE_MS = 400;
