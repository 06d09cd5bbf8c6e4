/** Time within which an endpoint daemon must answer the opening of a link. */
export const LINK_OPEN_TIMEOUT_MS = 2_000;

/** Version of endpoints that report none. */
export const NO_VERSION = 'unversioned';

/** Period of looking at waiting requests, in case no event told of new room. */
export const TICK_MS = 50;

/** Waiting requests that are tried for each event that may have opened room. */
export const MAX_TRIES_PER_EVENT = 64;

/** Pause before a request that was bounced by every endpoint is tried again. */
export const REFUSAL_BACKOFF_MS = 25;

/** Time to the deadline below which another attempt is not worth its cost. */
export const MIN_ATTEMPT_MS = 20;
