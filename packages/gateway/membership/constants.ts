/** Interval at which engines are asked for their state while the store is away. */
export const REPORTS_INTERVAL_MS = 300;

/** How long a removal is held back while it may only mean that the store was away. */
export const DOUBTFUL_REMOVAL_MS = 2_500;

/** How long a report that an engine leaves goes before a registration that says otherwise. */
export const LEAVING_HOLD_MS = 2_500;

/** Removed endpoints that are remembered, so that other daemons are told of them. */
export const MAX_REMOVED = 64;
