import type { BudgetLimits } from './types.js';

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

/** Limits of the budget of one customer and class. */
export const CUSTOMER_LIMITS: BudgetLimits = {
  floor: BUDGET_FLOOR,
  refillPerMs: FLOOR_REFILL_PER_MS,
  max: BUDGET_MAX,
};

/**
 * Limits of the budget that all customers of a daemon share. Their floors sum up to more than any
 * load: 28,000 customers have 56,000 retries at each of 800 daemons. One retry a second is 2.8% of
 * the 36 requests a second of a daemon at the target size, and the maximum covers the crash of an
 * endpoint with 256 running requests.
 */
export const SHARED_LIMITS: BudgetLimits = { floor: 10, refillPerMs: 0.001, max: 256 };

/** Maximum attempts of one request; retries do not help against a fault that outlasts four. */
export const MAX_ATTEMPTS = 4;

/** Upper bound of the jittered delay before the second attempt; each later attempt doubles it. */
export const BACKOFF_BASE_MS = 50;

/** Maximum of that upper bound. */
export const BACKOFF_MAX_MS = 2_000;

/** Maximum number of budgets, one per customer and class; the least recently updated is dropped. */
export const MAX_BUDGETS = 50_000;
