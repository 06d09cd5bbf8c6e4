import test from 'ava';
import fc from 'fast-check';
import { countRequest, createBudgetWindow, takeRepeat } from './retryBudget.js';
import type { BudgetRule } from './retryBudget.js';

const RULE: BudgetRule = { ratio: 0.2, slack: 40, windowMs: 10_000 };

const takeAll = (daemons: number): number => {
  const window = createBudgetWindow();
  let taken = 0;
  while (takeRepeat(window, RULE, daemons, 0) === 'taken') taken += 1;
  return taken;
};

// Guards against a fixed part of the budget that every daemon takes for itself.
test('the fixed part is divided by the daemons', (t) => {
  t.is(takeAll(1), 32);
  t.is(takeAll(4), 8);
});

// Guards against more repeats in any window than the shared bound allows.
test('no window holds more repeats than allowed', (t) => {
  const step = fc.record({ waitMs: fc.nat(900), repeat: fc.boolean() });
  const property = fc.property(fc.array(step, { maxLength: 250 }), (steps) => {
    const window = createBudgetWindow();
    const requests: number[] = [];
    const repeats: number[] = [];
    let now = 1_000;
    for (const { repeat, waitMs } of steps) {
      now += waitMs;
      if (!repeat) {
        countRequest(window, RULE, now);
        requests.push(now);
      } else if (takeRepeat(window, RULE, 1, now) === 'taken') repeats.push(now);
    }
    for (const end of repeats) {
      const inWindow = (at: number): boolean => at <= end && at > end - RULE.windowMs * 0.95;
      const around = requests.filter((at) => at <= end && at > end - RULE.windowMs).length;
      t.true(repeats.filter(inWindow).length <= around * RULE.ratio + RULE.slack);
    }
  });
  fc.assert(property, { seed: 12, numRuns: 100 });
});
