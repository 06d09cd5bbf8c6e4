/** Interval between two reads of the instance list, which lags by seconds anyway. */
export const LIST_POLL_MS = 1_000;

/** Timeout of one read of the instance list. */
export const LIST_TIMEOUT_MS = 2_000;
