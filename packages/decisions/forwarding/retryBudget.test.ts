import test from 'ava';
import fc from 'fast-check';
import { BUDGET_BUCKETS } from './constants.js';
import type { FleetKnowledge } from './fleetShare.js';
import { countRequest, createBudgetWindow, takeRetry } from './retryBudget.js';
import type { BudgetWindow, RetryBudgetSettings } from './retryBudget.js';

const SETTINGS: RetryBudgetSettings = { ratio: 0.2, slack: 40, windowMs: 10_000 };

/** Start of the windows; the daemons have counted for long at the instants of the tests. */
const LONG_AGO = -60_000;

const buildFleet = (daemons: number): FleetKnowledge => ({ daemons, contact: 'known' });

/** Takes all retries that the budget permits at an instant. */
const takeAllRetries = (window: BudgetWindow, fleet: FleetKnowledge, now: number): number => {
  let taken = 0;
  while (takeRetry(window, SETTINGS, 'another-run', fleet, now).charge !== null) taken += 1;
  return taken;
};

// Guards against daemons that each use the whole slack, so that together they exceed it.
test('the slack is divided by the number of daemons', (t) => {
  t.is(takeAllRetries(createBudgetWindow(LONG_AGO), buildFleet(1), 0), 36);
  t.is(takeAllRetries(createBudgetWindow(LONG_AGO), buildFleet(4), 0), 9);
});

// Guards against a restarted daemon that uses the slack which its earlier life has used.
test('a daemon uses no slack before it has counted for a whole window', (t) => {
  t.is(takeAllRetries(createBudgetWindow(0), buildFleet(4), SETTINGS.windowMs), 0);
  const window = createBudgetWindow(0);
  for (let at = 0; at <= SETTINGS.windowMs; at += 250) countRequest(window, SETTINGS, at);
  t.is(takeAllRetries(window, buildFleet(4), SETTINGS.windowMs), 1);
  t.is(takeAllRetries(createBudgetWindow(0), buildFleet(4), SETTINGS.windowMs * 1.1), 9);
});

// Guards against a daemon that takes the whole slack because it knows no other one.
test('a daemon that cannot know its fleet uses no slack', (t) => {
  const window = createBudgetWindow(LONG_AGO);
  t.is(takeAllRetries(window, { daemons: 1, contact: 'unknown' }, 0), 0);
});

// Guards against a window that forgets retries early: the slack was free again within the same window.
test('a burst of retries counts for a whole window', (t) => {
  const window = createBudgetWindow(LONG_AGO);
  const endOfBucket = SETTINGS.windowMs / BUDGET_BUCKETS - 1;
  t.is(takeAllRetries(window, buildFleet(1), endOfBucket), 36);
  t.is(takeAllRetries(window, buildFleet(1), endOfBucket + SETTINGS.windowMs - 1), 0);
});

// Guards against more retries in any window than the shared limit allows.
test('no window contains more retries than allowed', (t) => {
  const step = fc.record({ waitMs: fc.nat(900), isRetry: fc.boolean() });
  const property = fc.property(fc.array(step, { maxLength: 250 }), (steps) => {
    const window = createBudgetWindow(LONG_AGO);
    const requests: number[] = [];
    const retries: number[] = [];
    let now = 1_000;
    for (const { isRetry, waitMs } of steps) {
      now += waitMs;
      if (!isRetry) {
        countRequest(window, SETTINGS, now);
        requests.push(now);
      } else if (takeRetry(window, SETTINGS, 'another-run', buildFleet(1), now).charge !== null)
        retries.push(now);
    }
    for (const end of retries) {
      const inWindow = (at: number): boolean => at <= end && at > end - SETTINGS.windowMs;
      const requestCount = requests.filter(inWindow).length;
      t.true(retries.filter(inWindow).length <= requestCount * SETTINGS.ratio + SETTINGS.slack);
    }
  });
  fc.assert(property, { seed: 12, numRuns: 100 });
});
