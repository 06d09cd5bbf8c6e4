import test from 'ava';
import { MAX_REST_MS, REST_RETURN_REQUESTS, REST_RETURN_STEP_MS } from './constants.js';
import { addRest, isResting, isResumptionAllowed, openRestGate, REST_RETURN_MS } from './rest.js';
import { applyAnswer, isEndedBySilence, NO_STATEMENTS } from './statements.js';

// Guards against requests within the time for which an endpoint has asked for rest (BUDGET, issue 42).
test('a rest lasts as long as the longest wish, and a shorter one does not end it', (t) => {
  const rest = addRest(addRest(null, 4_000, 1_000), 500, 1_200);
  t.deepEqual(rest, { since: 1_000, until: 5_000, statedUntil: 5_000, triedAt: null });
  t.true(isResting(rest, 4_999));
  t.false(isResting(rest, 5_000));
  t.deepEqual(openRestGate(rest, 'too-few', [], 4_999), { headroom: 0, opensAt: 5_000 });
  t.deepEqual(addRest(rest, 100, 6_000), {
    since: 6_000,
    until: 6_100,
    statedUntil: 6_100,
    triedAt: null,
  });
});

// Guards against an endpoint that wrongly asks for rest without end and is never tried again, and against
// more than one trial in the time that is believed.
test('an endpoint that asks for too long a rest is tried once in each longest rest', (t) => {
  for (const restMs of [MAX_REST_MS * 10, Infinity]) {
    const rest = addRest(null, restMs, 1_000);
    const first = 1_000 + MAX_REST_MS;
    t.is(openRestGate(rest, 'too-few', [900], first - 1)?.headroom, 0);
    t.is(openRestGate(rest, 'too-few', [900], first)?.headroom, 1);
    t.deepEqual(openRestGate(rest, 'too-few', [900, first], first + 1), {
      headroom: 0,
      opensAt: first + MAX_REST_MS,
    });
    t.is(openRestGate(rest, 'too-few', [900, first], first + MAX_REST_MS)?.headroom, 1);
    // A short wish in the answer to the trial does not replace the long one.
    const again = addRest(rest, 2_000, first + 10);
    t.is(openRestGate(again, 'too-few', [900, first], first + 2_010)?.headroom, 0);
  }
});

// Guards against a service that is starved although its endpoints answered the trial without a further
// wish.
test('a service with too few endpoints uses one that answered a trial without a further wish', (t) => {
  const stated = applyAnswer(NO_STATEMENTS, [{ kind: 'rest', restMs: Infinity }], 900, 1_000);
  t.true(isEndedBySilence(stated));
  t.deepEqual(applyAnswer(stated, [], 1_500, 2_000), stated);
  const at = 1_010 + MAX_REST_MS;
  const { rest } = applyAnswer(stated, [], at - 10, at);
  t.is(openRestGate(rest, 'too-few', [], at)?.headroom, REST_RETURN_REQUESTS);
  t.is(openRestGate(rest, 'too-few', [], at + REST_RETURN_MS), null);
});

// Guards against requests beyond the two that are allowed until the end of the time that an endpoint
// has stated (BUDGET), which others of its service could take.
test('a rest lasts until its stated end while enough endpoints take the requests', (t) => {
  const stated = applyAnswer(NO_STATEMENTS, [{ kind: 'rest', restMs: 90_000 }], 900, 1_000);
  const at = 1_000 + MAX_REST_MS;
  const { rest } = applyAnswer(stated, [], at, at + 10);
  for (const tried of [stated.rest, rest])
    t.deepEqual(openRestGate(tried, 'enough', [], at + 20), { headroom: 0, opensAt: 91_000 });
  t.is(openRestGate(rest, 'enough', [], 91_000)?.headroom, REST_RETURN_REQUESTS);
});

// Guards against a rest that ends with the late answer to a request that was sent before it.
test('the answer to a request that was sent before the trial is not that of the trial', (t) => {
  const stated = applyAnswer(NO_STATEMENTS, [{ kind: 'rest', restMs: 90_000 }], 900, 1_000);
  const at = 1_010 + MAX_REST_MS;
  t.deepEqual(applyAnswer(stated, [], 950, at), stated);
});

// Guards against all requests that waited reaching an endpoint at once after its rest.
test('an endpoint gets few requests at first after its rest', (t) => {
  const rest = addRest(null, 1_000, 1_000);
  const sent: number[] = [1_500];
  const counts: number[] = [];
  for (let now = 2_000; now < 2_000 + REST_RETURN_MS; now += REST_RETURN_STEP_MS) {
    const before = sent.length;
    while ((openRestGate(rest, 'too-few', sent, now)?.headroom ?? 0) > 0) sent.push(now);
    counts.push(sent.length - before);
    t.is(openRestGate(rest, 'too-few', sent, now)?.opensAt, now + REST_RETURN_STEP_MS);
  }
  t.deepEqual(counts, [2, 4, 8, 16, 32, 64]);
  t.is(openRestGate(rest, 'too-few', sent, 2_000 + REST_RETURN_MS), null);
});

// Guards against a busy endpoint that gets few requests for long after each of its short rests.
test('the return lasts no longer than the rest', (t) => {
  const open = (restMs: number, afterMs: number) =>
    openRestGate(addRest(null, restMs, 1_000), 'enough', [], 1_000 + restMs + afterMs);
  t.is(open(REST_RETURN_STEP_MS - 1, 0), null);
  t.is(open(2 * REST_RETURN_STEP_MS, 0)?.headroom, REST_RETURN_REQUESTS);
  t.is(open(2 * REST_RETURN_STEP_MS, 2 * REST_RETURN_STEP_MS), null);
});

// Guards against a generation that is lost although one request may reach the resting holder of its
// memory, and against more of them.
test('one generation may resume at a resting endpoint in each rest', (t) => {
  const rest = addRest(null, 1_000, 1_000);
  t.true(isResumptionAllowed(rest, [900], 1_100));
  t.false(isResumptionAllowed(rest, [900, 1_100], 1_200));
  t.true(isResumptionAllowed(rest, [900, 1_100], 2_000));
  const extended = addRest(rest, 5_000, 1_300);
  t.false(isResumptionAllowed(extended, [900, 1_100], 3_000));
  const trial = 2_000 + MAX_REST_MS;
  t.false(isResumptionAllowed(addRest(null, Infinity, 1_000), [900, trial], trial + 100));
  t.true(isResumptionAllowed(null, [900], 1_000));
});
