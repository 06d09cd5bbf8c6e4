/** Period in which old nonces and answers are dropped. */
export const EXPIRE_MS = 10_000;
