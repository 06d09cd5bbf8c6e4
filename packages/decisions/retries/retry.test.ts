import test from 'ava';
import fc from 'fast-check';
import { BUDGET_FLOOR, FLOOR_REFILL_PER_MS, RETRIES_PER_SUCCESS } from './constants.js';
import { decideRetry, initRetryBudget, recordSuccess, takeRetry } from './retry.js';
import type { FailedAttempt } from './types.js';
import { createRandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';
import type { FailureCode, Verdict } from '../../core/verdict.js';

const SEED = 406;
const RUNS = 2_000;

const anyCode = fc.constantFrom<FailureCode>('overloaded', 'endpoint-lost', 'draining', 'shed');
const anyVerdict = fc.constantFrom<Verdict>('not-run', 'may-have-run', 'ran');
const anyAttempt = fc.record<FailedAttempt>({
  attempts: fc.integer({ min: 1, max: 6 }),
  repeat: fc.constantFrom('idempotent', 'never'),
  delivered: fc.constantFrom('nothing', 'some'),
  deadline: fc.integer({ min: 0, max: 400_000 }),
  minAttemptMs: fc.nat(500),
});
const anyEvent = fc.oneof(
  fc.record({ kind: fc.constant('success' as const), wait: fc.nat(2_000) }),
  fc.record({
    kind: fc.constant('failure' as const),
    wait: fc.nat(50),
    attempt: anyAttempt,
    code: anyCode,
    verdict: anyVerdict,
  }),
);

// Guards against a retry storm, a retry of work that must not run twice, a retry after a part of
// the answer was delivered, and a retry that starts too late to finish before the deadline.
test('retries respect the budget, the deadline and repeatability under any failures', (t) => {
  const property = fc.property(fc.array(anyEvent, { maxLength: 300, size: 'max' }), (events) => {
    const random = createRandomSource(SEED);
    let now = 0;
    let successes = 0;
    let retries = 0;
    let budget = initRetryBudget(now);
    for (const event of events) {
      now += event.wait;
      if (event.kind === 'success') {
        successes += 1;
        budget = recordSuccess(budget, now);
        continue;
      }
      const { attempt, verdict, code } = event;
      const failure = createFailure(verdict, code, '');
      const decision = decideRetry(budget, attempt, failure, now, random);
      if (decision.kind === 'give-up') continue;
      const taken = takeRetry(budget, now);
      if (taken.kind === 'spent') throw new Error('a retry was decided without a budget');
      budget = taken.budget;
      retries += 1;
      const allowed = BUDGET_FLOOR + successes * RETRIES_PER_SUCCESS + now * FLOOR_REFILL_PER_MS;
      if (retries > allowed + 1e-6) throw new Error(`${retries.toString()} retries`);
      if (attempt.delivered === 'some') throw new Error('answer was delivered');
      if (attempt.repeat === 'never' && verdict !== 'not-run') throw new Error('may run twice');
      if (now + decision.delayMs + attempt.minAttemptMs > attempt.deadline) {
        throw new Error('too late');
      }
    }
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a policy that satisfies the property above by never retrying.
test('an idempotent request is retried after a loss, or fails with the reason', (t) => {
  const attempt = {
    attempts: 1,
    repeat: 'idempotent',
    delivered: 'nothing',
    minAttemptMs: 10,
  } as const;
  const lost = createFailure('may-have-run', 'endpoint-lost', 'endpoint lost', 40);
  const random = { next: () => 0.5 };
  const first = decideRetry(initRetryBudget(0), { ...attempt, deadline: 1_000 }, lost, 0, random);
  t.deepEqual(first, { kind: 'retry', delayMs: 65 });
  const late = decideRetry(
    takeRetry(initRetryBudget(0), 0).budget,
    { ...attempt, deadline: 60 },
    lost,
    0,
    random,
  );
  t.deepEqual(late, { kind: 'give-up', reason: 'deadline-too-near' });
  const spent = { retries: 0.9, updatedAt: 0 };
  const last = decideRetry(spent, { ...attempt, deadline: 1_000 }, lost, 0, random);
  t.deepEqual(last, { kind: 'give-up', reason: 'budget-spent' });
});
