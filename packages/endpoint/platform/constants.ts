/** Period of reading the instance list; it lags by seconds anyway. */
export const LIST_POLL_MS = 1_000;
