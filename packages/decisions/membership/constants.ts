/** Interval between two heartbeats of an endpoint daemon. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Silence after which an endpoint gets no new work: three heartbeats may be lost or late. */
export const SUSPECT_AFTER_MS = 1_500;

/** Silence after which an endpoint's running work counts as lost. */
export const GONE_AFTER_MS = 5_000;

/** Time for which a gone endpoint is remembered, so that its older incarnations stay refused. */
export const FORGET_AFTER_MS = 600_000;

/**
 * Time after a pause of the own process in which heartbeats may have waited in a socket and say
 * nothing about the present.
 */
export const BACKLOG_AFTER_PAUSE_MS = 500;

/** Time for which one acknowledged heartbeat lets an endpoint daemon accept new work. */
export const LEASE_MS = 2_000;

/** Heartbeats whose time of sending is remembered; covers one lease with a margin. */
export const SENT_HEARTBEATS_KEPT = 8;

/**
 * Longest time between two events of an endpoint daemon's lease that is not taken for a pause. The
 * daemon ticks at least every quarter of it.
 */
export const PAUSE_LIMIT_MS = 500;

/**
 * Longest wait for all heartbeat targets after a lapse. An entry daemon that is cut off from the log
 * renews the lease without knowing the newest configuration, so one answer alone is not enough.
 */
export const SETTLE_MS = 2_000;
