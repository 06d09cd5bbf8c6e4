/** Period of the engines' counters in the series. */
export const SAMPLE_PERIOD_MS = 500;

/** Width of one point of the series of requests. */
export const SERIES_STEP_MS = 1_000;

/** Calls that one request makes at the most, with resumes. */
export const MAX_CALLS_PER_REQUEST = 6;

/** Wait before the next call of one request; it grows with each call. */
export const RETRY_BACKOFF_STEP_MS = 100;

/** Keys that are looked up at a service at one time. */
export const INSPECTION_CONCURRENCY = 32;

/** Time after which a page of a stand-in counts as unanswered. */
export const PAGE_TIMEOUT_MS = 2_000;

/** Longest time that a histogram holds. */
export const MAX_MEASURED_MS = 600_000;
