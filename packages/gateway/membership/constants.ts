/** Interval at which engines are polled for their state while the registrations may be stale. */
export const REPORT_POLL_INTERVAL_MS = 300;

/** Time for which a report that an engine leaves overrides a registration without that state. */
export const LEAVING_REPORT_VALIDITY_MS = 2_500;

/** Limit of the removed endpoints that are kept for the reports to other daemons. */
export const MAX_REMOVED_ENDPOINTS = 64;

/**
 * Limit of the removed endpoints that are remembered for the generations that they hold. These are
 * needed for a few seconds, in which a data centre may be emptied.
 */
export const MAX_DEPARTED_ENDPOINTS = 1_024;

/**
 * Limit of the removed incarnations that are remembered, about 0.5 MB. A copy of the store that is
 * some seconds old has far fewer of them, even when a data centre was emptied meanwhile.
 */
export const MAX_GONE_INCARNATIONS = 4_096;
