/** Number of buckets in the sliding window of the retry budget. */
export const BUDGET_BUCKETS = 20;

/**
 * Number of buckets for which a retry counts. A window begins and ends within buckets, and a retry
 * arrives later than it is sent.
 */
export const RETRY_BUCKETS = BUDGET_BUCKETS + 2;

/** Number of buckets for which requests are kept: those of a window and of half a window before it. */
export const REQUEST_BUCKETS = RETRY_BUCKETS + BUDGET_BUCKETS / 2;

/**
 * Share of the retry budget that may be used. The rest covers daemons that are missing from the count,
 * requests that are counted later than their callers sent them, and the width of a bucket.
 */
export const BUDGET_UTILIZATION = 0.9;

/**
 * Share of a daemon's slack that accrues from its start, and share that it may save. The rest is free
 * once it has counted for a whole window. A life that has used all of it may be followed by a new one
 * at once, which has accrued nothing, so the three shares never add up to more than the slack.
 */
export const ACCRUED_SLACK_SHARE = 0.2;
export const CREDIT_LIMIT_SHARE = 0.2;

/** Number of attempts that did not run a request after which it is not sent again. */
export const MAX_NOT_RUN_ATTEMPTS = 4;

/**
 * Bounds of the sliding window in which requests to an endpoint are counted against the limit that
 * it states.
 */
export const MIN_LIMIT_WINDOW_MS = 4_000;
export const MAX_LIMIT_WINDOW_MS = 10_000;

/** Minimum number of daemons that may use an endpoint with a stated limit. */
export const MIN_LIMIT_USERS = 8;

/**
 * Bound of the requests of all daemons in the window of a limit while they do not know of each
 * other's latest requests: the limit times the factor, plus the requests.
 */
export const LIMIT_RACE_FACTOR = 1.5;
export const LIMIT_RACE_REQUESTS = 4;

/** Timeout for connecting to an endpoint. */
export const CONNECT_TIMEOUT_MS = 250;

/** Size limit of a stream event, which is buffered until it is complete. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** Output length assumed for a generation whose caller sends no estimate, in tokens. */
export const DEFAULT_OUTPUT_TOKENS = 256;

/** Back-off for an endpoint after a failed connection attempt. */
export const UNREACHABLE_BACKOFF_MS = 1_000;

/** Weight of the newest sample in an endpoint's moving averages of failure rate and latency. */
export const HEALTH_SAMPLE_WEIGHT = 0.15;

/** Half-life of an observed failure rate while there are no new observations. */
export const FAILURE_RATE_HALF_LIFE_MS = 4_000;

/** Back-off for an endpoint that refused a request for lack of capacity. */
export const OVERLOAD_BACKOFF_MS = 40;

/** Weight of an output token, relative to a prompt token, in a generation's transfer priority. */
export const OUTPUT_TOKEN_WEIGHT = 10;

/**
 * Time after which a stated request limit no longer counts. The endpoint may have had no request
 * since then in whose answer it could have ended the limit.
 */
export const LIMIT_VALIDITY_MS = 30_000;

/**
 * Longest rest of an endpoint that is believed. It is longer than the timeouts of requests, in which an
 * endpoint works off all that it has. Where most endpoints of a service ask for more, each is tried once
 * in this time, so that wrong statements starve it for no longer.
 */
export const MAX_REST_MS = 60_000;

/**
 * Return of an endpoint after its rest: the requests of one daemon in the first step, which double
 * with each step, and the number of steps until they are not limited any more.
 */
export const REST_RETURN_STEP_MS = 100;
export const REST_RETURN_REQUESTS = 2;
export const REST_RETURN_STEPS = 6;
