/** Interval at which a draining process checks whether its work has ended. */
export const DRAIN_CHECK_MS = 100;

/** Time in which a request for an inspection page must arrive whole. */
export const PAGE_REQUEST_TIMEOUT_MS = 10_000;
