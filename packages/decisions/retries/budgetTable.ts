import { BUDGET_FLOOR, FLOOR_REFILL_PER_MS, MAX_BUDGETS } from './constants.js';
import type { RetryBudget } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId } from '../../core/ids.js';

/**
 * Retry budgets by customer and class. The table is updated in place, since it holds tens of
 * thousands of budgets at the target size. Only the requests child updates it.
 */
export interface BudgetTable {
  readonly get: (customer: CustomerId, className: ClassName, now: Millis) => RetryBudget;
  readonly update: (customer: CustomerId, className: ClassName, budget: RetryBudget) => void;
  readonly getSize: () => number;
}

/**
 * Creates an empty table. What it does not hold may have been spent: by the process before a
 * restart, or before the bounded table dropped the budget. Such a budget counts as empty at the
 * last instant at which it can have been spent, and has refilled towards the floor since.
 *
 * @param createdAt - instant at which the process started, on the clock of the later calls
 * @param capacity - maximum number of budgets; beyond it the least recently updated one is dropped
 * @returns the table
 */
export const createBudgetTable = (
  createdAt: Millis,
  capacity: number = MAX_BUDGETS,
): BudgetTable => {
  const budgets = new Map<string, RetryBudget>();
  // No budget outside the table was updated after this instant, since the dropped one is the least
  // recently updated.
  let lastUnknownAt = createdAt;
  const toKey = (customer: CustomerId, className: ClassName): string =>
    JSON.stringify([customer, className]);
  const computeUnknown = (now: Millis): RetryBudget => ({
    retries: Math.min(BUDGET_FLOOR, Math.max(0, now - lastUnknownAt) * FLOOR_REFILL_PER_MS),
    updatedAt: now,
  });
  return {
    get: (customer, className, now) =>
      budgets.get(toKey(customer, className)) ?? computeUnknown(now),
    update: (customer, className, budget) => {
      const key = toKey(customer, className);
      budgets.delete(key);
      budgets.set(key, budget);
      if (budgets.size <= capacity) return;
      const oldest = budgets.entries().next().value;
      if (oldest === undefined) return;
      const [oldestKey, { updatedAt }] = oldest;
      budgets.delete(oldestKey);
      lastUnknownAt = Math.max(lastUnknownAt, updatedAt);
    },
    getSize: () => budgets.size,
  };
};
