import test from 'ava';
import fc from 'fast-check';
import {
  BUDGET_MAX,
  FLOOR_REFILL_PER_MS,
  MAX_ATTEMPTS,
  RETRIES_PER_SUCCESS,
  SHARED_LIMITS,
} from './constants.js';
import { createSendOwner } from './sendOwner.js';
import type { SendOwner } from './sendOwner.js';
import type { Millis } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';

const SEED = 3_902;
const RUNS = 300;
const DEADLINE_MS = 30_000;
const MIN_ATTEMPT_MS = 20;
const HOLDER = { customer: 'caroni', className: 'lookup' } as const;
const LOST = createFailure('may-have-run', 'endpoint-failed', 'lost');

/** What happens at one daemon: ends of first attempts, and the moment at which retries are sent. */
interface Action {
  /** `pause` stops the process; `send` sends retries that waited for their delay or a place. */
  readonly kind: 'succeed' | 'fail' | 'send' | 'pause' | 'restart';
  readonly count: number;
  readonly wait: Millis;
}

const anyAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('succeed' as const),
      count: fc.integer({ min: 1, max: 400 }),
      wait: fc.nat(300),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('fail' as const, 'send' as const),
      count: fc.integer({ min: 1, max: 60 }),
      wait: fc.nat(300),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom('pause' as const, 'restart' as const),
      count: fc.constant(0),
      wait: fc.nat(40_000),
    }),
  },
);

interface Waiting {
  readonly deadlineAt: Millis;
}

interface Counted {
  readonly at: Millis;
  readonly sent: number;
  readonly successes: number;
}

/** Checks the bound of a token bucket between each two instants at which retries were sent. */
const checkWindows = (history: readonly Counted[]): void => {
  for (const [index, start] of history.entries()) {
    let retries = 0;
    let successes = 0;
    for (const { at, sent, successes: earned } of history.slice(index)) {
      retries += sent;
      successes += earned;
      const allowed =
        BUDGET_MAX + successes * RETRIES_PER_SUCCESS + (at - start.at) * FLOOR_REFILL_PER_MS;
      if (retries > allowed + 1e-6) {
        throw new Error(`${retries.toString()} sent of ${allowed.toFixed(1)} allowed`);
      }
    }
  }
};

/** Sends one waiting retry, or not. */
type SendRetry = (owner: SendOwner, waiting: Waiting, now: Millis) => 'sent' | 'refused';

const sendByOwner: SendRetry = (owner, { deadlineAt }, now) => {
  const request = {
    ...HOLDER,
    purpose: { kind: 'after-failure', failure: LOST },
    attempt: 2,
    deadlineAt,
    minAttemptMs: MIN_ATTEMPT_MS,
  } as const;
  return owner.issuePermit(request, now).isOk() ? 'sent' : 'refused';
};

const runHistory = (actions: readonly Action[], sendRetry: SendRetry): void => {
  const random = createRandomSource(SEED);
  let now = 0;
  let owner = createSendOwner(now);
  let waiting: Waiting[] = [];
  const history: Counted[] = [];
  for (const { kind, count, wait } of actions) {
    now += wait;
    let sent = 0;
    let successes = 0;
    if (kind === 'succeed') {
      for (; successes < count; successes += 1) owner.recordSuccess(HOLDER, now);
    } else if (kind === 'restart') {
      owner = createSendOwner(now);
      waiting = [];
    } else if (kind === 'fail') {
      for (let index = 0; index < count; index += 1) {
        const deadline = now + DEADLINE_MS;
        const attempt = {
          attempts: 1,
          repeat: 'idempotent',
          delivered: 'nothing',
          deadline,
          minAttemptMs: MIN_ATTEMPT_MS,
        } as const;
        const decision = owner.decideRetry(HOLDER, attempt, LOST, now, random);
        if (decision.kind === 'retry') waiting.push({ deadlineAt: deadline });
      }
    } else if (kind === 'send') {
      for (const retry of waiting.splice(0, count)) {
        if (sendRetry(owner, retry, now) === 'refused') continue;
        if (now + MIN_ATTEMPT_MS > retry.deadlineAt) throw new Error('sent past the deadline');
        sent += 1;
      }
    }
    history.push({ at: now, sent, successes });
  }
  checkWindows(history);
};

const buildProperty = (sendRetry: SendRetry) =>
  fc.property(fc.array(anyAction, { maxLength: 60, size: 'max' }), (actions) => {
    runHistory(actions, sendRetry);
  });

// Guards against retries that wait, for a place or a paused process, and are then sent together
// beyond the budget or past their deadlines.
test('in no window are more retries sent than the budget and the successes in it allow', (t) => {
  fc.assert(buildProperty(sendByOwner), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a simulation that cannot detect the absence of the check at the send.
test('the simulation finds a violation without the permit of the owner', (t) => {
  const result = fc.check(
    buildProperty(() => 'sent'),
    { seed: SEED, numRuns: RUNS },
  );
  t.regex(String(result.errorInstance), /sent/);
});

// Guards against a budget of each customer that bounds nothing together: in an outage of a daemon
// with many customers, each of them had its floor, and all requests were sent four times.
test('in a total outage the retries of many customers are a small share of the load', (t) => {
  const customers = 28_000;
  const requestsPerSecond = 36;
  const random = createRandomSource(SEED);
  const owner = createSendOwner(0);
  const outageAt = 600_000;
  const outageMs = 600_000;
  let first = 0;
  let retries = 0;
  for (let index = 0; index < (requestsPerSecond * (outageAt + outageMs)) / 1_000; index += 1) {
    const now = (index * 1_000) / requestsPerSecond;
    const holder = { customer: `c-${(index % customers).toString()}`, className: 'lookup' };
    if (now < outageAt) {
      owner.recordSuccess(holder, now);
      continue;
    }
    first += 1;
    const deadlineAt = now + DEADLINE_MS;
    for (let attempts = 1; attempts < MAX_ATTEMPTS; attempts += 1) {
      const limits = { attempts, deadline: deadlineAt, minAttemptMs: MIN_ATTEMPT_MS } as const;
      const failed = { ...limits, repeat: 'idempotent', delivered: 'nothing' } as const;
      if (owner.decideRetry(holder, failed, LOST, now, random).kind === 'give-up') break;
      const purpose = { kind: 'after-failure', failure: LOST } as const;
      const request = { ...holder, purpose, attempt: attempts + 1, deadlineAt, minAttemptMs: 0 };
      if (owner.issuePermit(request, now).isErr()) break;
      retries += 1;
    }
  }
  const refilled = outageMs * SHARED_LIMITS.refillPerMs;
  t.true(retries <= SHARED_LIMITS.max + refilled, retries.toString());
  t.true(retries < first * 0.1, `${retries.toString()} retries of ${first.toString()} requests`);
  t.true(retries > refilled - 1, 'the refill is used');
});

const FIRST = {
  ...HOLDER,
  purpose: { kind: 'first' },
  attempt: 1,
  deadlineAt: 1_000,
  minAttemptMs: MIN_ATTEMPT_MS,
} as const;

// Guards against a first attempt or a free one after a refusal that is charged to the budget, or
// that is sent when its deadline has passed.
test('first attempts and those after a refusal are bounded by the deadline only', (t) => {
  const owner = createSendOwner(0);
  const refused = createFailure('not-run', 'overloaded', 'no free slot');
  const afterRefusal = { ...FIRST, purpose: { kind: 'after-refusal', failure: refused } } as const;
  for (const request of [FIRST, afterRefusal]) {
    t.like(owner.issuePermit(request, 999).unwrap(), { purpose: request.purpose.kind, attempt: 1 });
    t.like(owner.issuePermit(request, 1_000).unwrapErr(), {
      verdict: 'not-run',
      code: 'deadline-exceeded',
    });
  }
});

// Guards against a refusal that hides why the request failed.
test('a retry that the budget does not allow fails with the failure of the attempt before', (t) => {
  const purpose = { kind: 'after-failure', failure: LOST } as const;
  const permit = createSendOwner(0).issuePermit({ ...FIRST, purpose }, 0);
  t.deepEqual(permit.unwrapErr(), LOST);
});
