/** Delay before a failed call to the store of quarantines is repeated. */
export const STORE_RETRY_MS = 2_000;

/** Maximum number of crashes in one stored quarantine. */
export const MAX_STORED_CRASHES = 16;

/** Maximum number of crashed endpoints that a daemon remembers to have observed. */
export const MAX_OBSERVED_CRASHES = 500;
