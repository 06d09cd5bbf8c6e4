import test from 'ava';
import fc from 'fast-check';
import { createBudgetTable } from './budgetTable.js';
import type { BudgetTable } from './budgetTable.js';
import { BUDGET_FLOOR, FLOOR_REFILL_PER_MS, RETRIES_PER_SUCCESS } from './constants.js';
import { decideRetry, recordSuccess, takeRetry } from './retry.js';
import { createRandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';

const SEED = 3_901;
const RUNS = 2_000;
const CAPACITY = 2;
const CUSTOMERS = ['a', 'b', 'c', 'd'] as const;

type Customer = (typeof CUSTOMERS)[number];

/** What happens at one daemon: the end of an attempt, or a restart of its process. */
type History = readonly {
  readonly kind: 'success' | 'failure' | 'restart';
  readonly customer: Customer;
  readonly wait: number;
}[];

const anyHistory: fc.Arbitrary<History> = fc.array(
  fc.record({
    kind: fc.constantFrom('success', 'failure', 'failure', 'failure', 'restart'),
    customer: fc.constantFrom(...CUSTOMERS),
    wait: fc.nat(2_000),
  }),
  { maxLength: 200, size: 'max' },
);

const LOST = createFailure('may-have-run', 'endpoint-failed', '');

const runHistory = (history: History): void => {
  const random = createRandomSource(SEED);
  let now = 0;
  let table: BudgetTable = createBudgetTable(now, CAPACITY);
  const retries = new Map<Customer, number>();
  const successes = new Map<Customer, number>();
  for (const { kind, customer, wait } of history) {
    now += wait;
    if (kind === 'restart') {
      table = createBudgetTable(now, CAPACITY);
      continue;
    }
    const budget = table.get(customer, 'lookup', now);
    if (kind === 'success') {
      successes.set(customer, (successes.get(customer) ?? 0) + 1);
      table.update(customer, 'lookup', recordSuccess(budget, now));
      continue;
    }
    const attempt = {
      attempts: 1,
      repeat: 'idempotent',
      delivered: 'nothing',
      deadline: now + 60_000,
      minAttemptMs: 1,
    } as const;
    const decision = decideRetry(budget, attempt, LOST, now, random);
    const taken = takeRetry(budget, now);
    table.update(customer, 'lookup', taken.budget);
    if (decision.kind === 'give-up') continue;
    const count = (retries.get(customer) ?? 0) + 1;
    retries.set(customer, count);
    const credit = (successes.get(customer) ?? 0) * RETRIES_PER_SUCCESS;
    const allowed = BUDGET_FLOOR + credit + now * FLOOR_REFILL_PER_MS;
    if (count > allowed + 1e-6) {
      throw new Error(`${count.toString()} retries of ${allowed.toFixed(2)} allowed`);
    }
  }
};

// Guards against an allowance that starts anew with the process, or with a budget that the bounded
// table dropped: each restart and each eviction would grant the floor once more.
test('restarts and evictions never raise the retries of a customer', (t) => {
  fc.assert(fc.property(anyHistory, runHistory), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a table that satisfies the property above by granting no retries at all: after a
// start a customer without successes has the whole floor again as soon as it has refilled.
test('a customer without a budget has the floor once it has refilled', (t) => {
  const refillMs = BUDGET_FLOOR / FLOOR_REFILL_PER_MS;
  const table = createBudgetTable(1_000, CAPACITY);
  t.is(table.get('a', 'lookup', 1_000).retries, 0);
  t.is(table.get('a', 'lookup', 1_000 + refillMs / 2).retries, BUDGET_FLOOR / 2);
  t.is(table.get('a', 'lookup', 1_000 + refillMs).retries, BUDGET_FLOOR);
  t.is(table.get('a', 'lookup', 1_000 + 2 * refillMs).retries, BUDGET_FLOOR);
});

// Guards against memory that grows with the number of customers ever seen, and against dropping
// another budget than the least recently updated one.
test('the table drops the least recently updated budget beyond its capacity', (t) => {
  const refillMs = BUDGET_FLOOR / FLOOR_REFILL_PER_MS;
  const table = createBudgetTable(0, CAPACITY);
  for (const customer of ['a', 'b', 'a', 'c']) {
    const budget = table.get(customer, 'lookup', refillMs);
    table.update(customer, 'lookup', recordSuccess(budget, refillMs));
  }
  t.is(table.getSize(), CAPACITY);
  t.is(table.get('a', 'lookup', refillMs).retries, BUDGET_FLOOR + 2 * RETRIES_PER_SUCCESS);
  t.is(table.get('c', 'lookup', refillMs).retries, BUDGET_FLOOR + RETRIES_PER_SUCCESS);
  t.is(table.get('b', 'lookup', refillMs).retries, 0);
});
