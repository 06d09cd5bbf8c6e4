import test from 'ava';
import fc from 'fast-check';
import { computeLimits, createMemoryBudget } from './memoryBudget.js';

const MEBIBYTE = 1024 * 1024;
const WEIGHTS = {
  own: { bodies: 5, answers: 3 },
  common: 2,
  sharers: ['bodies', 'answers'] as const,
  caps: {},
};

const createHarness = (memoryBytes = 210 * MEBIBYTE) => {
  let used = 0;
  let collections = 0;
  const budget = createMemoryBudget({
    memoryBytes,
    weights: WEIGHTS,
    memory: {
      readUsedBytes: () => used,
      collect: () => {
        collections += 1;
        used = 0;
      },
    },
  });
  return {
    budget,
    use: (bytes: number) => {
      used = bytes;
    },
    countCollections: () => collections,
  };
};

// Guards against limits that stand in several places, each small enough alone, whose sum exceeds the
// memory of the machine.
test('the limits of all holders are below the memory of every machine', (t) => {
  for (const megabytes of [64, 120, 200, 282, 350, 602, 4_096]) {
    const memoryBytes = megabytes * MEBIBYTE;
    const { common, own } = computeLimits(memoryBytes, WEIGHTS);
    const sum = common + own.bodies + own.answers;
    t.true(sum > 0 && sum < memoryBytes, megabytes.toString());
    if (megabytes > 200) t.true(sum <= memoryBytes - 100 * MEBIBYTE, megabytes.toString());
  }
});

// Guards against a holder that takes the memory of the others, and against one that is refused while
// there is common memory.
test('a holder takes its own and the common memory, not that of others', (t) => {
  const { budget } = createHarness();
  const { answers, bodies } = budget.accounts;
  t.is(bodies.reserve(70 * MEBIBYTE), 'reserved');
  t.is(bodies.reserve(MEBIBYTE), 'full');
  t.is(answers.reserve(30 * MEBIBYTE), 'reserved');
  t.is(answers.reserve(MEBIBYTE), 'full');
  bodies.release(10 * MEBIBYTE);
  t.is(answers.reserve(10 * MEBIBYTE), 'reserved');
  t.is(bodies.reserve(MEBIBYTE), 'full');
});

// Guards against a holder that is limited by something else, as the heap, and takes common memory.
test('a holder without a share of the common memory keeps to its own, and to its cap', (t) => {
  const { accounts } = createMemoryBudget<'bodies' | 'answers'>({
    memoryBytes: 210 * MEBIBYTE,
    weights: { ...WEIGHTS, sharers: ['bodies'], caps: { answers: 10 * MEBIBYTE } },
    memory: { readUsedBytes: () => 0, collect: () => undefined },
  });
  t.is(accounts.answers.reserve(10 * MEBIBYTE), 'reserved');
  t.is(accounts.answers.reserve(1), 'full');
});

// Guards against bytes that two holders reserve together beyond the memory, in any order.
test('reservations never exceed the sum of the limits', (t) => {
  const step = fc.tuple(fc.constantFrom('bodies' as const, 'answers' as const), fc.nat(40));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const { accounts } = createHarness().budget;
      for (const [holder, megabytes] of steps) {
        const account = accounts[holder];
        if (megabytes % 3 === 0) account.release(account.getReserved());
        else account.reserve(megabytes * MEBIBYTE);
        t.true(accounts.bodies.getReserved() + accounts.answers.getReserved() <= 100 * MEBIBYTE);
      }
    }),
    { seed: 36, numRuns: 100 },
  );
});

// Guards against a count that outlives a restarted child, which has dropped what it had counted.
test('a holder that counts by itself is read when room is needed', (t) => {
  const { budget } = createHarness();
  let counted = 50 * MEBIBYTE;
  budget.observe('answers', () => counted);
  const { answers, bodies } = budget.accounts;
  t.is(answers.reserve(0), 'reserved');
  t.is(bodies.reserve(51 * MEBIBYTE), 'full');
  counted = 51 * MEBIBYTE;
  t.is(answers.reserve(0), 'full');
  counted = 0;
  t.is(bodies.reserve(70 * MEBIBYTE), 'reserved');
});

// Guards against garbage of released buffers that fills the memory of the machine although nothing is
// reserved, and against collections that cost processor time when they free nothing.
test('garbage is collected under pressure only', (t) => {
  const { budget, countCollections, use } = createHarness();
  use(60 * MEBIBYTE);
  budget.recordReceived(2 * MEBIBYTE);
  t.is(countCollections(), 0);
  use(90 * MEBIBYTE);
  budget.recordReceived(1_000);
  t.is(countCollections(), 0);
  budget.recordReceived(2 * MEBIBYTE);
  t.is(countCollections(), 1);
  budget.accounts.bodies.reserve(70 * MEBIBYTE);
  use(75 * MEBIBYTE);
  budget.recordReceived(2 * MEBIBYTE);
  t.is(countCollections(), 1);
});

// Guards against a refusal for lack of memory of which nothing tells.
test('what cannot be reserved is reported with its holder', (t) => {
  const { budget } = createHarness();
  const reported: [string, number][] = [];
  budget.notifyFull((holder, bytes) => reported.push([holder, bytes]));
  budget.accounts.answers.reserve(60 * MEBIBYTE);
  t.deepEqual(reported, [['answers', 60 * MEBIBYTE]]);
});
