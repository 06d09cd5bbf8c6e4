import { MAX_BUDGETS } from './constants.js';
import { initRetryBudget } from './retry.js';
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
 * Creates an empty table.
 *
 * @param capacity - maximum number of budgets; beyond it the least recently updated one is dropped
 * @returns the table; a budget that it does not hold starts at the floor
 */
export const createBudgetTable = (capacity: number = MAX_BUDGETS): BudgetTable => {
  const budgets = new Map<string, RetryBudget>();
  const toKey = (customer: CustomerId, className: ClassName): string =>
    JSON.stringify([customer, className]);
  return {
    get: (customer, className, now) =>
      budgets.get(toKey(customer, className)) ?? initRetryBudget(now),
    update: (customer, className, budget) => {
      const key = toKey(customer, className);
      budgets.delete(key);
      budgets.set(key, budget);
      if (budgets.size <= capacity) return;
      const oldest = budgets.keys().next().value;
      if (oldest !== undefined) budgets.delete(oldest);
    },
    getSize: () => budgets.size,
  };
};
