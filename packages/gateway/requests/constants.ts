/** Share of the latency target for which a request waits for an endpoint before it is refused. */
export const MAX_PLACEMENT_WAIT_SHARE = 0.12;

/**
 * Share of the latency target for which a generation waits for room. After that it is placed even if
 * that preempts other generations. One of the most urgent rank of its service preempts those of others.
 */
export const MAX_ROOM_WAIT_SHARE: Readonly<Record<'first' | 'yields', number>> = {
  first: 0.3,
  yields: 0.4,
};

/** Number of the requests that wait for room in a service of which placement is tried at a time. */
export const MAX_PLACED_AT_ONCE = 8;

/** Delay before the placement of a waiting request is tried again. */
export const PLACEMENT_RETRY_MS = 20;

/** Share of the latency target after which an idempotent request without an answer is hedged. */
export const HEDGE_DELAY_SHARE = 0.6;

/** Minimum time without an event after which callers leave a stream. */
export const MIN_CALLER_PATIENCE_MS = 2_000;

/** The same time in multiples of the latency target, and of the target for the gap between two events. */
export const PATIENCE_TARGET_FACTOR = 4;
export const PATIENCE_GAP_FACTOR = 8;

/** Time in which the close of a caller who has left is noticed. */
export const CALLER_LEAVING_MS = 500;

/** Minimum stall timeout of a stream. A sound endpoint may fall silent for a second or so. */
export const MIN_STALL_TIMEOUT_MS = 1_600;

/** Delay before a stalled stream is checked again on which a transfer or another attempt decides. */
export const STALL_RECHECK_MS = 500;

/** Stall timeout, in multiples of the latency target. */
export const STALL_TARGET_FACTOR = 2;

/**
 * Time for which a silent endpoint keeps its attempt after the request has been sent to another
 * endpoint that continues the stream. An endpoint that refuses does so within it. Two endpoints may
 * work on one generation for 400 ms; the rest is for a late timer and the way of the close.
 */
export const CONTINUATION_OVERLAP_MS = 200;

/**
 * Time without an event after which an engine is asked about the run of a stream, as a share of the
 * time after a disruption from which two engines may not work on one generation. Two answers of the
 * engine and the order to stop have to fit into the rest of it.
 */
export const RUN_CHECK_SHARE = 0.4;

/** Interval between two questions about a run, as a share of the time without an event. */
export const RUN_CHECK_INTERVAL_SHARE = 0.4;

/**
 * Time after an order to stop a run, or after the last check, until the engine is asked whether the run
 * has ended. What an engine reports is some hundred milliseconds old.
 */
export const RUN_STOP_CHECK_MS = 500;

/**
 * Time without an answer of an engine after which connections that fail show that nobody reaches it. Its
 * report is asked for every `RUN_STOP_CHECK_MS`.
 */
export const MIN_UNREACHED_MS = 750;

/**
 * Number of reports in a row without a connection after which nobody reaches an engine that takes no orders.
 * A packet that is lost is sent again after a second.
 */
export const MIN_REPORT_MISSES = 3;

/** Delay before an order to stop a run that was not confirmed is repeated. */
export const RUN_STOP_RETRY_MS = 100;

/**
 * Delay before an order to stop a run is repeated that the engine does not work on now. Two engines may
 * work on one generation for 400 ms; the rest is for a late timer and the way of the order.
 */
export const RUN_STOP_WATCH_MS = 200;

/** Delay of the same when the request has ended: no other engine works on it any more. */
export const RUN_STOP_IDLE_MS = 2_000;

/**
 * Age of what an engine reports, at the most: it reports its state of some hundred milliseconds ago, and
 * the call itself may take 500 ms.
 */
export const MAX_REPORT_AGE_MS = 1_500;

/** Size limit of a whole answer, which is buffered until it is complete. */
export const MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024;

/** Events without output tokens that a stream may have, as at its end. */
export const END_EVENTS = 8;

/**
 * Time from the start of a drain during which generations are still admitted. After two failed
 * readiness checks the balancer sends no more connections.
 */
export const DRAIN_ACCEPT_MS = 2_600;

/** Retry-after of a request that a draining daemon refuses; the retry reaches another daemon. */
export const DRAIN_RETRY_AFTER_MS = 50;

/** Limit of the requests in flight, above which new ones are refused. */
export const MAX_REQUESTS = 4_000;

/**
 * Retry-after of a refused request, as a share of its remaining time; callers accept up to a third.
 */
export const RETRY_AFTER_SHARE = 0.2;

/**
 * Bounds of the retry-after of a request that was refused because of an overload, as shares of its
 * remaining time.
 */
export const MIN_OVERLOAD_RETRY_SHARE = 0.2;
export const MAX_OVERLOAD_RETRY_SHARE = 0.32;

/** Bounds of the retry-after of a refused request. */
export const RETRY_AFTER_MIN_MS = 50;
export const RETRY_AFTER_MAX_MS = 2_000;

/**
 * Retry-after of a daemon that has no configuration or too many requests: share of the caller's
 * timeout, and upper bound.
 */
export const UNREADY_RETRY_AFTER_SHARE = 0.3;
export const UNREADY_RETRY_AFTER_MAX_MS = 4_000;

/** Share of a cold endpoint's request limit that is used, since requests arrive in bursts. */
export const COLD_LIMIT_UTILIZATION = 0.7;

/**
 * Minimum number of daemons that may use a cold endpoint, each with one request a second at least. The
 * bound of all daemons together has a slack of five requests.
 */
export const MIN_COLD_USERS = 4;

/** Maximum number of endpoints whose latest requests are remembered. */
export const MAX_SENT_TIMES_ENDPOINTS = 2_000;

/** Tokens added to the size of a generation for its growth until the size is computed again. */
export const GROWTH_MARGIN_TOKENS = 250;

/** Sliding window in which requests to a cold endpoint are counted against its limit. */
export const COLD_WINDOW_MS = 1_000;

/**
 * Delay before the first transfer from a leaving endpoint, during which the daemons exchange the
 * priorities of their generations there.
 */
export const TRANSFER_START_DELAY_MS = 20;

/** Interval at which a daemon checks whether its next transfer may start. */
export const TRANSFER_CHECK_MS = 10;

/** Limit of the number of times that the transfer of one generation is started. */
export const MAX_TRANSFER_TRIES = 20;

/** Delay before a transfer is tried again. */
export const TRANSFER_RETRY_MS = 100;

/**
 * Delay before a transfer is tried again that the retry budget did not permit. The budget forgets the
 * retries of half a second at once.
 */
export const TRANSFER_BUDGET_RETRY_MS = 500;

/** Last event id with which a generation resumes from a copy when its caller has no event yet. */
export const INITIAL_LAST_EVENT_ID = '0';

/**
 * Number of events after which an endpoint has survived the content of a request: an endpoint that
 * crashes on it does so as it begins the answer, and the first event may have left it by then.
 */
export const SURVIVED_EVENTS = 2;
