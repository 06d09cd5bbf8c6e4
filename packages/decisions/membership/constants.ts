/** Interval between two heartbeats of an endpoint daemon. */
export const HEARTBEAT_INTERVAL_MS = 500;

/**
 * Time without a heartbeat after which an endpoint is suspect and receives no new work: three lost
 * or late heartbeats.
 */
export const SUSPECT_AFTER_MS = 1_500;

/** Time without a heartbeat after which an endpoint is gone and its in-flight work is lost. */
export const GONE_AFTER_MS = 5_000;

/**
 * Time without a heartbeat after which an unlisted endpoint is removed. Until then its entry
 * remains, so that late heartbeats of older incarnations are ignored.
 */
export const REMOVE_AFTER_MS = 600_000;

/**
 * Time after a pause of this process during which heartbeats may come from a socket buffer and do
 * not show the current state of an endpoint.
 */
export const BACKLOG_AFTER_PAUSE_MS = 500;

/** Duration of the lease that an acknowledged heartbeat grants, from the instant of sending. */
export const LEASE_MS = 2_000;

/** Maximum number of sent heartbeats that are recorded; covers one lease with a margin. */
export const MAX_SENT_HEARTBEATS = 8;

/**
 * Longest time between two events of a lease that does not count as a pause of the process. The
 * daemon ticks at least four times within it.
 */
export const PAUSE_THRESHOLD_MS = 500;

/**
 * Longest wait for the acknowledgements of all heartbeat targets after a lapse. One acknowledgement
 * is not enough, since an entry daemon that cannot reach the log renews the lease without knowing
 * the newest configuration.
 */
export const MAX_SETTLING_MS = 2_000;

/** Maximum number of gateway daemons that report to each other directly. */
export const MAX_GROUP_SIZE = 16;
