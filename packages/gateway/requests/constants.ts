/** Part of its target for which a request waits for an endpoint; longer waits are refused. */
export const MAX_PLACEMENT_WAIT_SHARE = 0.12;

/** Part of its target for which a generation waits for memory before it is placed all the same. */
export const MAX_CAPACITY_WAIT_SHARE = 0.3;

/** Pause before a held request is placed again. */
export const PLACEMENT_RETRY_MS = 20;

/** Part of its target after which an idempotent request without an answer is sent once more. */
export const HEDGE_DELAY_SHARE = 0.6;

/** Share of the gap target after which a silent stream goes on at the endpoint of its copy. */
export const STALL_GAP_FACTOR = 3;

/** Shortest silence that counts; prompts of other requests delay the tokens of a running one. */
export const MIN_STALL_TIMEOUT_MS = 450;

/** Attempts that did not run, after which a request is refused. */
export const MAX_NOT_RUN_ATTEMPTS = 4;

/** Largest whole answer that is kept until its end has come. */
export const MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Time of a drain in which generations are still taken on; new connections no longer come after two
 * missed questions for readiness.
 */
export const DRAIN_ACCEPT_MS = 2_600;

/** Targets that a call may take, and time on top, for it to be taken on late in a drain. */
export const DRAIN_TARGET_FACTOR = 2;
export const DRAIN_MARGIN_MS = 200;

/** Time for each output token that is expected of a stream: a slow engine's, as estimates are often low. */
export const DRAIN_TOKEN_MS = 30;

/** Time after which a caller that a draining daemon refused may come back, to another daemon. */
export const DRAIN_RETRY_AFTER_MS = 50;

/** Requests in progress above which new ones are refused. */
export const MAX_REQUESTS = 4_000;

/** Part of the time left after which a refused caller may come back, as callers accept a third. */
export const RETRY_AFTER_SHARE = 0.2;

/** Bounds of the time after which a refused caller may come back, in ms. */
export const RETRY_AFTER_MIN_MS = 50;
export const RETRY_AFTER_MAX_MS = 2_000;

/** The same for a daemon that has no configuration or too many requests. */
export const UNREADY_RETRY_AFTER_SHARE = 0.3;
export const UNREADY_RETRY_AFTER_MAX_MS = 4_000;

/** Part of the bound of a cold endpoint that is used; requests arrive bunched. */
export const COLD_LIMIT_UTILIZATION = 0.7;

/** Tokens by which a generation counts as larger than it is, for the time until it is seen again. */
export const GROWTH_MARGIN_TOKENS = 250;

/** Window of the bound of a cold endpoint. */
export const COLD_WINDOW_MS = 1_000;

/** Time in which the daemons tell each other what they have at an endpoint that leaves. */
export const TRANSFER_START_DELAY_MS = 20;

/** Interval at which a daemon asks whether it is its turn. */
export const TRANSFER_TURN_CHECK_MS = 10;

/** Orders that are given for one generation. */
export const MAX_TRANSFER_TRIES = 20;

/** Pause before an order is repeated. */
export const TRANSFER_RETRY_MS = 100;

/** Id from which a generation goes on when its caller has no event yet. */
export const INITIAL_LAST_EVENT_ID = '0';
