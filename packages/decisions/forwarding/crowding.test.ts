import test from 'ava';
import fc from 'fast-check';
import { compareWaiting, computeReserve, hasRoom, updateUrgentNeed } from './crowding.js';
import type { WaitingRequest } from './crowding.js';
import { buildCandidate, buildEndpoint, DEMAND, ENGINE_SERVICE } from './forwarding.fixture.js';
import type { PlacementCriteria } from './placeAttempt.js';
import { addUse, computeUseShare } from './recentUse.js';
import type { RecentUse } from './recentUse.js';

const MEMORY = ENGINE_SERVICE.engine?.memoryTokens ?? 0;

const buildCriteria = (promptTokens: number, outputTokens: number): PlacementCriteria => ({
  service: ENGINE_SERVICE,
  demand: {
    ...DEMAND,
    promptTokens,
    maxOutputTokens: outputTokens,
    expectedOutputTokens: outputTokens,
  },
  targetMs: 1_800,
  homeDataCentre: 'dc-a',
  tried: new Set(),
  now: 10_000,
});

const buildWaiting = (change: Partial<WaitingRequest> = {}): WaitingRequest => ({
  customerRank: 1,
  rank: 1,
  targetAt: 5_000,
  targetMs: 2_000,
  customerShare: 0,
  ...change,
});

const sortWaiting = (waiting: readonly WaitingRequest[]) => [...waiting].sort(compareWaiting);

// Guards against a late summary that is sent before an urgent query.
test('bursts of long summaries among urgent queries: the urgent ones go first', (t) => {
  const summaries = Array.from({ length: 50 }, (_, index) =>
    buildWaiting({ rank: 2, targetAt: 1_000 + index }),
  );
  const query = buildWaiting({ rank: 0, targetAt: 9_000 });
  t.is(sortWaiting([...summaries, query])[0], query);
});

// Guards against a customer's rank that is forgotten, or that makes all of its routes equal.
test('the rank of the customer goes first, and that of the route decides among equals', (t) => {
  const summary = buildWaiting({ customerRank: 0, rank: 2 });
  const query = buildWaiting({ customerRank: 1, rank: 0 });
  const other = buildWaiting({ customerRank: 1, rank: 2 });
  t.deepEqual(sortWaiting([other, query, summary]), [summary, query, other]);
});

// Guards against a large customer whose requests take all the room: those of others wait behind its queue.
test('one customer takes nine tenths of the arrivals: the others do not wait behind it', (t) => {
  const uses: RecentUse = new Map();
  addUse(uses, 'large', 90_000, 0);
  addUse(uses, 'small', 10_000, 0);
  const large = Array.from({ length: 20 }, (_, index) =>
    buildWaiting({ targetAt: 3_000 + index, customerShare: computeUseShare(uses, 'large', 100) }),
  );
  const small = buildWaiting({
    targetAt: 4_000,
    customerShare: computeUseShare(uses, 'small', 100),
  });
  t.is(sortWaiting([...large, small])[0], small);
  // Nobody is put behind those that arrive much later.
  const later = buildWaiting({ targetAt: 5_500 });
  t.not(sortWaiting([...large, later])[0], later);
});

// Guards against a customer whose burst long ago counts for ever, and against a table without a bound.
test('use is forgotten', (t) => {
  const uses: RecentUse = new Map();
  addUse(uses, 'a', 1_000, 0);
  addUse(uses, 'b', 1_000, 40_000);
  t.true(computeUseShare(uses, 'a', 40_000) < 0.01);
  for (let index = 0; index < 3_000; index += 1) addUse(uses, `c-${index.toString()}`, 1, 40_000);
  t.true(uses.size <= 1_000);
  t.true(uses.has('b'));
});

// Guards against an engine that has memory for all prompts of a burst but not for their outputs: it runs
// out of memory in the middle of the answers, and the newest are read again.
test('a burst of equal generations: as many have room as fit at their ends', (t) => {
  const criteria = buildCriteria(MEMORY / 10, MEMORY / 10);
  let load = { requests: 0, tokens: 0, waitingTokens: 0, growthTokens: 0 };
  let sent = 0;
  while (hasRoom(buildCandidate(buildEndpoint('e-1', { slots: 64 }), { load }), criteria, 0)) {
    sent += 1;
    load = {
      requests: sent,
      tokens: (sent * MEMORY) / 10,
      waitingTokens: 0,
      growthTokens: (sent * MEMORY) / 10,
    };
  }
  t.is(sent, 5);
});

// Guards against a short query that waits behind the growth of long generations, which it does not live to see.
test('a short query has room beside long generations that are far from their ends', (t) => {
  const load = { requests: 5, tokens: MEMORY * 0.7, waitingTokens: 0, growthTokens: MEMORY * 0.3 };
  const candidate = buildCandidate(buildEndpoint('e-1'), { load });
  t.true(hasRoom(candidate, buildCriteria(MEMORY * 0.2, 8), 0));
  t.false(hasRoom(candidate, buildCriteria(MEMORY * 0.2, MEMORY * 0.1), 0));
});

// Guards against a less urgent request that takes the last room before an urgent one arrives at another
// daemon.
test('the last room of an engine is kept for the most urgent requests', (t) => {
  const load = { requests: 3, tokens: MEMORY * 0.9, waitingTokens: 0, growthTokens: 0 };
  const candidate = buildCandidate(buildEndpoint('e-1'), { load });
  const criteria = buildCriteria(MEMORY * 0.04, MEMORY * 0.01);
  t.true(hasRoom(candidate, criteria, 0));
  const urgentNeed = updateUrgentNeed(updateUrgentNeed(null, MEMORY * 0.08), MEMORY * 0.08);
  t.false(hasRoom(candidate, criteria, computeReserve(urgentNeed, MEMORY)));
  // Large urgent requests do not keep all others out, and without any nothing is kept.
  t.is(computeReserve(MEMORY, MEMORY), MEMORY / 4);
  t.is(computeReserve(null, MEMORY), 0);
});

// Guards against a request that nobody serves because it is larger than what is left beside the reserve.
test('a generation has room in an engine without others', (t) => {
  const candidate = buildCandidate(buildEndpoint('e-1'));
  t.true(hasRoom(candidate, buildCriteria(MEMORY * 0.97, 1), MEMORY / 4));
});

// Guards against an order in which a request can be put off for ever, or that depends on the arrival.
test('the order is total, and a request is behind others by its target at most', (t) => {
  const waiting = fc.record({
    customerRank: fc.nat(2),
    rank: fc.nat(3),
    targetAt: fc.integer({ min: 0, max: 20_000 }),
    targetMs: fc.integer({ min: 100, max: 4_000 }),
    customerShare: fc.double({ min: 0, max: 1, noNaN: true }),
  });
  t.notThrows(() => {
    fc.assert(
      fc.property(waiting, waiting, (left, right) => {
        const order = compareWaiting(left, right);
        if (Math.sign(order) !== -Math.sign(compareWaiting(right, left))) return false;
        const isLongBefore = left.targetAt + left.targetMs < right.targetAt;
        const isEqual = left.rank === right.rank && left.customerRank === right.customerRank;
        return !isEqual || !isLongBefore || order < 0;
      }),
      { seed: 50, numRuns: 1_000 },
    );
  });
});
