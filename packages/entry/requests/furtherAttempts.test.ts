import test from 'ava';
import { DEFAULT_SERVICE_CLASS } from './classes.js';
import { createRequestsHarness, listCalls } from './requestsHarness.fixture.js';
import type { CallEffect, RequestsHarness } from './requestsHarness.fixture.js';
import { createFailure } from '../../core/verdict.js';
import {
  BUDGET_MAX,
  MAX_ATTEMPTS,
  RETRIES_PER_SUCCESS,
} from '../../decisions/retries/constants.js';
import type { EntryEffect } from '../events.js';

const LOST = createFailure('may-have-run', 'endpoint-failed', 'the answer was lost');
const DEADLINE_MS = DEFAULT_SERVICE_CLASS.deadlineMs;

const takeCall = (effects: readonly EntryEffect[]): CallEffect => {
  const [call] = listCalls(effects);
  if (call === undefined) throw new Error('no call was sent');
  return call;
};

const listFailures = (effects: readonly EntryEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'fail-request' ? [effect.failure] : []));

const sendRetry = (harness: RequestsHarness, requestId: string): readonly EntryEffect[] =>
  harness.handle({ to: 'requests', kind: 'retry-due', requestId });

// Guards against a daemon that cannot retry at all, which would satisfy every test below.
test('a lost attempt is followed by one at the other endpoint with the time that is left', (t) => {
  const harness = createRequestsHarness();
  const first = takeCall(harness.receive('r'));
  harness.clock.advance(1_000);
  harness.fail(first, LOST);
  harness.clock.advance(500);
  const second = takeCall(sendRetry(harness, 'r'));
  t.like(second.call.permit, { attempt: 2, purpose: 'after-failure' });
  t.not(second.call.url, first.call.url);
  t.is(second.call.permit.deadlineAt - harness.clock.now(), DEADLINE_MS - 1_500);
});

// Guards against refusals that use up the attempts of a request: nothing ran, so that a later loss
// is still followed by another attempt, but by no more than three.
test('refused attempts do not count as attempts that ran', (t) => {
  const harness = createRequestsHarness();
  const refused = createFailure('not-run', 'draining', 'the endpoint is leaving');
  let call = takeCall(harness.receive('r'));
  for (let refusal = 0; refusal < MAX_ATTEMPTS + 1; refusal += 1) {
    harness.fail(call, refused);
    call = takeCall([
      ...sendRetry(harness, 'r'),
      ...harness.handle({ to: 'requests', kind: 'tick' }),
    ]);
  }
  // Enough credit for all retries.
  for (let index = 0; index < 100; index += 1) {
    harness.answer(takeCall(harness.receive(`s-${index.toString()}`)));
  }
  let lost = 0;
  for (; lost < 2 * MAX_ATTEMPTS; lost += 1) {
    if (listFailures(harness.fail(call, LOST)).length > 0) break;
    call = takeCall([
      ...sendRetry(harness, 'r'),
      ...harness.handle({ to: 'requests', kind: 'tick' }),
    ]);
  }
  t.is(lost, MAX_ATTEMPTS - 1);
});

// Guards against a paused process that sends its due retries past their deadlines, with 1 ms left.
test('a retry that is due after a pause past the deadline is not sent', (t) => {
  const harness = createRequestsHarness();
  harness.fail(takeCall(harness.receive('r')), LOST);
  harness.clock.advance(DEADLINE_MS);
  const effects = sendRetry(harness, 'r');
  t.deepEqual(listCalls(effects), []);
  t.like(listFailures(effects)[0], { code: 'deadline-exceeded', verdict: 'may-have-run' });
});

// Guards against sending a request past its deadline when a load report is handled before the tick
// that refuses the expired requests of the queue, as after a pause.
test('a request that waited past its deadline is not sent', (t) => {
  const harness = createRequestsHarness();
  harness.setCapacity('none');
  harness.receive('r');
  harness.clock.advance(DEADLINE_MS);
  harness.setCapacity('free');
  const effects = harness.handle({
    to: 'requests',
    kind: 'capacity-changed',
    endpoint: 'endpoint-1',
    reportedAt: harness.clock.now(),
  });
  t.deepEqual(listCalls(effects), []);
  t.like(listFailures(effects)[0], { code: 'deadline-exceeded', verdict: 'not-run' });
});

// Guards against a deadline that starts when the loop takes up the request: a process that stood
// still in between handed on the whole time again.
test('the time before the request was taken up counts against its deadline', (t) => {
  const harness = createRequestsHarness();
  const receivedAt = harness.clock.now();
  harness.clock.advance(10_000);
  const { permit } = takeCall(harness.receive('r', receivedAt)).call;
  t.is(permit.deadlineAt - harness.clock.now(), DEADLINE_MS - 10_000);
});

// Guards against retries that are charged when they are decided: those that wait for an endpoint
// are sent together, beyond what the budget allows at one moment.
test('retries that waited for an endpoint are charged when they are sent', (t) => {
  const harness = createRequestsHarness();
  const waiting: string[] = [];
  let successes = 0;
  // Each round earns retries by successes and fails the rest, while no endpoint takes a retry.
  for (let round = 0; round < 20; round += 1) {
    harness.setCapacity('free');
    for (let index = 0; index < 600; index += 1) {
      harness.answer(takeCall(harness.receive(`s-${round.toString()}-${index.toString()}`)));
      successes += 1;
    }
    const lost = Array.from(
      { length: 60 },
      (_, index) => `${round.toString()}-${index.toString()}`,
    );
    const calls = lost.map((requestId) => takeCall(harness.receive(requestId)));
    harness.setCapacity('none');
    for (const call of calls) harness.fail(call, LOST);
    harness.clock.advance(500);
    for (const requestId of lost) {
      t.deepEqual(listCalls(sendRetry(harness, requestId)), []);
    }
    waiting.push(...lost);
  }
  harness.setCapacity('free');
  const sent: CallEffect[] = [];
  // A tick tries a bounded number of waiting requests.
  for (let tick = 0; tick < 40; tick += 1) {
    sent.push(...listCalls(harness.handle({ to: 'requests', kind: 'tick' })));
  }
  t.true(successes * RETRIES_PER_SUCCESS > 2 * BUDGET_MAX, 'the credit exceeds the budget');
  t.is(sent.length, BUDGET_MAX);
});
