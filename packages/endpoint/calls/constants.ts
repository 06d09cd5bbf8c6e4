/** Interval between two removals of expired nonces and answers. */
export const EXPIRY_INTERVAL_MS = 10_000;
