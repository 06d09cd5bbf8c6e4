/** Interval at which the child checks what is due. */
export const USAGE_TICK_MS = 250;

/** Number of daemons that watch the lease and may hold it. */
export const CANDIDATE_COUNT = 3;

/** Time after the start in which a daemon learns of the others, before it can tell who watches the lease. */
export const DISCOVERY_MS = 3_000;

/** Interval at which a daemon that does not hold the lease reads it. */
export const WATCH_INTERVAL_MS = 1_000;

/** Delay before a load is tried again that failed. */
export const LOAD_RETRY_MS = 500;

/** Timeout of one report. */
export const REPORT_TIMEOUT_MS = 1_000;

/** Time of the lease that must be left when a report is sent, so that it cannot arrive after the end. */
export const REPORT_RESERVE_MS = 1_300;

/** Delay before a report is sent again that was not accepted. */
export const REPORT_RETRY_MS = 1_000;

/** Interval at which a daemon sends its counts to those that watch the lease. */
export const SEND_INTERVAL_MS = 2_500;

/** The same while it drains, and after the end of a window until the counts are settled. */
export const URGENT_SEND_INTERVAL_MS = 500;

/** Time after the end of a window in which its last counts are sent again. */
export const URGENT_SEND_MS = 1_200;

/** Windows of which counts are sent: the present one, the one before, and two for a new holder. */
export const SENT_WINDOWS = 4;
