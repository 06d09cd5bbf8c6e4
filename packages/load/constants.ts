/** Interval at which the engines' counters are sampled. */
export const SAMPLE_PERIOD_MS = 500;

/** Interval that one point of the request series covers. */
export const SERIES_STEP_MS = 1_000;

/** Maximum number of calls for one request, including resumes. */
export const MAX_CALLS_PER_REQUEST = 6;

/**
 * Step of the linear back-off between calls of a request. The first retry is immediate, and each
 * further one waits a step longer.
 */
export const RETRY_BACKOFF_STEP_MS = 100;

/** Maximum number of concurrent inspection requests. */
export const INSPECTION_CONCURRENCY = 32;

/** Timeout of a request for a page of a stand-in. */
export const PAGE_TIMEOUT_MS = 2_000;

/** Longest duration that a histogram records; longer ones are recorded as this value. */
export const MAX_MEASURED_MS = 600_000;
