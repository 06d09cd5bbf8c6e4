/** Delay before a failed call to the store of quarantines is repeated. */
export const STORE_RETRY_MS = 2_000;

/** Maximum number of crashes in one stored quarantine. */
export const MAX_STORED_CRASHES = 16;

/**
 * Time over which a daemon spreads what it writes again after the store was restored, so that the
 * daemons do not exceed the rate limit of writes together.
 */
export const REWRITE_SPREAD_MS = 3_000;

/** Maximum number of quarantines whose newest write a daemon remembers. */
export const MAX_REMEMBERED_WRITES = 64;

/** Maximum number of crashed endpoints that a daemon remembers to have observed. */
export const MAX_OBSERVED_CRASHES = 500;
