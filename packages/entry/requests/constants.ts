/** Time within which an endpoint daemon must answer an opened link, a fence or a cancel. */
export const LINK_OPEN_TIMEOUT_MS = 2_000;

/** Version assumed for endpoints that report none. */
export const NO_VERSION = 'unversioned';

/** Interval at which the queue is checked even if no event reported free capacity. */
export const TICK_MS = 50;

/** Maximum number of waiting requests to try after an event that may have freed capacity. */
export const MAX_TRIES_PER_EVENT = 64;

/** Delay before the next attempt of a request that endpoint daemons refused more than once. */
export const REFUSAL_BACKOFF_MS = 25;

/** Minimum time before the deadline for another attempt to be worth its cost. */
export const MIN_ATTEMPT_MS = 20;
