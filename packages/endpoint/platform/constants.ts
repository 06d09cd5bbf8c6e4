/** Period of reading the instance list; it lags by seconds anyway. */
export const LIST_POLL_MS = 1_000;

/** Time limit of one read of the list. */
export const LIST_TIMEOUT_MS = 2_000;
