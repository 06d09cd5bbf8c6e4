import test from 'ava';
import fc from 'fast-check';
import { BUDGET_BUCKETS } from './constants.js';
import { countRequest, createBudgetWindow, takeRetry } from './retryBudget.js';
import type { BudgetWindow, RetryBudgetSettings } from './retryBudget.js';

const SETTINGS: RetryBudgetSettings = { ratio: 0.2, slack: 40, windowMs: 10_000 };

const takeAllRetries = (daemons: number): number => {
  const window = createBudgetWindow();
  let taken = 0;
  while (takeRetry(window, SETTINGS, daemons, 0).outcome === 'taken') taken += 1;
  return taken;
};

// Guards against daemons that each use the whole slack, so that together they exceed it.
test('the slack is divided by the number of daemons', (t) => {
  t.is(takeAllRetries(1), 32);
  t.is(takeAllRetries(4), 8);
});

/** Takes all retries that the budget permits at an instant. */
const takeAllRetriesAt = (window: BudgetWindow, now: number): number => {
  let taken = 0;
  while (takeRetry(window, SETTINGS, 1, now).outcome === 'taken') taken += 1;
  return taken;
};

// Guards against a window that forgets retries early: the slack was free again within the same window.
test('a burst of retries counts for a whole window', (t) => {
  const window = createBudgetWindow();
  const endOfBucket = SETTINGS.windowMs / BUDGET_BUCKETS - 1;
  t.is(takeAllRetriesAt(window, endOfBucket), 32);
  t.is(takeAllRetriesAt(window, endOfBucket + SETTINGS.windowMs - 1), 0);
});

// Guards against more retries in any window than the shared limit allows.
test('no window contains more retries than allowed', (t) => {
  const step = fc.record({ waitMs: fc.nat(900), isRetry: fc.boolean() });
  const property = fc.property(fc.array(step, { maxLength: 250 }), (steps) => {
    const window = createBudgetWindow();
    const requests: number[] = [];
    const retries: number[] = [];
    let now = 1_000;
    for (const { isRetry, waitMs } of steps) {
      now += waitMs;
      if (!isRetry) {
        countRequest(window, SETTINGS, now);
        requests.push(now);
      } else if (takeRetry(window, SETTINGS, 1, now).outcome === 'taken') retries.push(now);
    }
    for (const end of retries) {
      const inWindow = (at: number): boolean => at <= end && at > end - SETTINGS.windowMs;
      const requestCount = requests.filter(inWindow).length;
      t.true(retries.filter(inWindow).length <= requestCount * SETTINGS.ratio + SETTINGS.slack);
    }
  });
  fc.assert(property, { seed: 12, numRuns: 100 });
});
