/** Queue fill ratio above which new requests are shed, so that running ones can complete. */
export const NEW_REQUEST_QUEUE_SHARE = 0.75;

/** Events handled before control returns to I/O; bounds the delay of socket reads under load. */
export const MAX_EVENTS_PER_BATCH = 256;

/** Default queue capacity, in events. */
export const DEFAULT_QUEUE_CAPACITY = 65_536;

/** Delay of a timer from which the loop counts as late, and the time for which it does so. */
export const LATE_TIMER_MS = 100;
export const LATE_FOR_MS = 1_000;

/** Longest delay of a timer, 24.8 days; Node.js runs a longer one after 1 ms. */
export const MAX_TIMER_MS = 2 ** 31 - 1;
