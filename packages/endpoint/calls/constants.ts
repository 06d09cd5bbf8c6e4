/** Period in which old nonces and answers are dropped. */
export const EXPIRY_INTERVAL_MS = 10_000;
