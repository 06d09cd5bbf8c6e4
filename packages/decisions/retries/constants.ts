/** Retries that one success pays for; an outage of everything adds at most this share of load. */
export const RETRY_SHARE = 0.1;

/** Retries that a customer without recent successes has at hand. */
export const BUDGET_FLOOR = 2;

/** Refill below the floor, so that a customer recovers after an outage: one retry every 10 s. */
export const FLOOR_REFILL_PER_MS = 0.0001;

/** Retries that can be saved up; bounds the burst when everything fails after a good time. */
export const BUDGET_MAX = 50;

/** Attempts of one request; a fault that outlasts four of them needs more than a retry. */
export const MAX_ATTEMPTS = 4;

/** Upper end of the jitter before the second attempt; later ones double it. */
export const BACKOFF_FIRST_MS = 50;

/** Upper end of the jitter for all later attempts. */
export const BACKOFF_MAX_MS = 2_000;

/** Budgets kept, one for each customer and class; the least recently used one starts anew. */
export const MAX_BUDGETS = 50_000;
