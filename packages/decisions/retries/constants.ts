/**
 * Retries that one success adds to the budget. In a total outage, retries add at most this share of
 * load.
 */
export const RETRIES_PER_SUCCESS = 0.1;

/** Budget of a customer without recent successes. */
export const BUDGET_FLOOR = 2;

/**
 * Refill rate below the floor: one retry every 10 s, so that a customer recovers after an outage.
 */
export const FLOOR_REFILL_PER_MS = 0.0001;

/** Maximum budget; bounds the burst of retries when everything fails after a time of success. */
export const BUDGET_MAX = 50;

/** Maximum attempts of one request; retries do not help against a fault that outlasts four. */
export const MAX_ATTEMPTS = 4;

/** Upper bound of the jittered delay before the second attempt; each later attempt doubles it. */
export const BACKOFF_BASE_MS = 50;

/** Maximum of that upper bound. */
export const BACKOFF_MAX_MS = 2_000;

/** Maximum number of budgets, one per customer and class; the least recently updated is dropped. */
export const MAX_BUDGETS = 50_000;
