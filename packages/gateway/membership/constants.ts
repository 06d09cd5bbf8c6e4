/** Interval at which engines are asked for their state while the store is away. */
export const REPORT_POLL_INTERVAL_MS = 300;

/** How long a removal is held back while it may only mean that the store was away. */
export const UNCERTAIN_REMOVAL_DELAY_MS = 2_500;

/** How long a report that an engine leaves goes before a registration that says otherwise. */
export const LEAVING_REPORT_VALIDITY_MS = 2_500;

/** Removed endpoints that are remembered, so that other daemons are told of them. */
export const MAX_REMOVED_ENDPOINTS = 64;
