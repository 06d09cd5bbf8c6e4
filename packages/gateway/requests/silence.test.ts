import test from 'ava';
import { STALL_TARGET_FACTOR } from './constants.js';
import {
  buildEvents,
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  SIGNED_HEAD,
  toEvent,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import {
  connectAttempt,
  LATE_TIMER_MS,
  LONG_SILENCE_MS,
  MAX_OVERLAP_MS,
  PATHS,
  REFUSED,
  resetConnection,
  sendEvents,
  startAnswer,
  startStream,
} from './streams.fixture.js';
import { MEMO_ROUTE } from '../../decisions/forwarding/forwarding.fixture.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';

/** Silence of a sound endpoint, which is no reason to end an answer. */
const SHORT_SILENCE_MS = 1_500;

/** Time for the way to an endpoint, its refusal and the way back. */
const REFUSAL_MS = 50;

/** Time from the opening of a continuation until the end of `LONG_SILENCE_MS`. */
const SINCE_OPENED_MS = LONG_SILENCE_MS - MEMO_ROUTE.targetMs * STALL_TARGET_FACTOR;

const findWritten = (effects: readonly GatewayEffect[]) =>
  findEffect(effects, 'write-answer')?.bytes;

// Guards against a stream that is taken from a sound endpoint because it fell silent for a second or
// so: the next endpoint may refuse it, and the caller's connection would be closed.
test('a stream stays at an endpoint that falls silent for a second or so', (t) => {
  for (const path of PATHS) {
    const harness = createRequestsHarness();
    const order = startStream(harness, path);
    const silent = harness.wait(SHORT_SILENCE_MS);
    t.is(findEffect(silent, 'cancel-attempt'), undefined);
    t.deepEqual(findAttemptOrders(silent), []);
    t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
  }
});

// Guards against a lost stream when the endpoint that should continue it refuses, although the
// silent one goes on.
test('a stream stays at its silent endpoint when the continuation is refused', (t) => {
  for (const path of PATHS) {
    const harness = createRequestsHarness();
    const order = startStream(harness, path);
    const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
    t.not(continuation.head.endpointId, order.head.endpointId);
    const refused = startAnswer(harness, continuation, REFUSED);
    t.is(findEffect(refused, 'break-answer'), undefined);
    t.is(findEffect(harness.wait(MAX_OVERLAP_MS), 'cancel-attempt'), undefined);
    t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
    const ended = harness.post({ ...toEvent(order), kind: 'answer-ended' });
    t.truthy(findEffect(ended, 'end-answer'));
  }
});

// Guards against a lost stream when no endpoint can continue it, although the silent one goes on.
test('a stream stays at its silent endpoint when no other can continue it', (t) => {
  for (const path of PATHS) {
    const harness = createRequestsHarness();
    const order = startStream(harness, path);
    harness.endpoints.splice(
      0,
      harness.endpoints.length,
      ...harness.endpoints.filter(({ id }) => id === order.head.endpointId),
    );
    const silent = harness.wait(LONG_SILENCE_MS * 2);
    t.is(findEffect(silent, 'break-answer'), undefined);
    t.is(findEffect(silent, 'cancel-attempt'), undefined);
    t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
  }
});

// Guards against a lost stream when the retry budget does not permit a continuation.
test('a stream stays at its silent endpoint when the retry budget is spent', (t) => {
  const harness = createRequestsHarness();
  harness.setRetries('spent');
  const order = startStream(harness, '/memo/1');
  const silent = harness.wait(LONG_SILENCE_MS);
  t.is(findEffect(silent, 'break-answer'), undefined);
  t.deepEqual(findAttemptOrders(silent), []);
  t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
});

// Guards against two endpoints that work on one generation for longer than the users allow.
test('the silent endpoint is cancelled soon after its stream is continued', (t) => {
  for (const path of PATHS) {
    const harness = createRequestsHarness();
    const order = startStream(harness, path);
    const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
    startAnswer(harness, continuation);
    const effects = harness.wait(MAX_OVERLAP_MS);
    t.is(findEffect(effects, 'cancel-attempt')?.attempt, order.attempt);
    t.is(continuation.head.lastEventId, '3');
    const written = sendEvents(harness, continuation, 4, 5);
    t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 5)));
  }
});

// Guards against two endpoints that work on one generation for longer than the users allow because the
// timer that ends the overlap comes late on a busy daemon.
test('a late timer does not prolong the overlap beyond what the users allow', (t) => {
  const harness = createRequestsHarness();
  startStream(harness, '/memo/1');
  const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
  const sent = connectAttempt(harness, continuation);
  const overlapMs = sent.flatMap((effect) =>
    effect.kind === 'schedule' && effect.event.kind === 'overlap-ended' ? [effect.delayMs] : [],
  );
  t.is(overlapMs.length, 1);
  t.true(Math.max(...overlapMs) + LATE_TIMER_MS <= MAX_OVERLAP_MS);
});

// Guards against events that the caller gets twice, and against work for nobody, when the silent
// endpoint goes on while its stream is being continued.
test('the endpoint whose event comes first keeps the stream', (t) => {
  for (const winner of ['silent', 'continuation'] as const) {
    const harness = createRequestsHarness();
    const order = startStream(harness, '/memo/1');
    const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
    startAnswer(harness, continuation);
    const [first, second] = winner === 'silent' ? [order, continuation] : [continuation, order];
    const effects = sendEvents(harness, first, 4, 4);
    t.deepEqual(findWritten(effects), Buffer.from(buildEvents(4, 4)));
    t.is(findEffect(effects, 'cancel-attempt')?.attempt, second.attempt);
    t.is(findWritten(sendEvents(harness, second, 4, 5)), undefined);
    t.deepEqual(findWritten(sendEvents(harness, first, 5, 5)), Buffer.from(buildEvents(5, 5)));
    t.is(findEffect(harness.wait(MAX_OVERLAP_MS), 'cancel-attempt'), undefined);
  }
});

// Guards against a lost stream because the endpoint that continues it takes long to begin: the
// request waits there, and a second copy does not exist.
test('a continuation that waits for its first event is not replaced', (t) => {
  const harness = createRequestsHarness();
  const order = startStream(harness, '/memo/1');
  const broken = resetConnection(harness, order);
  const continuation = getOrder(broken);
  startAnswer(harness, continuation);
  const waited = harness.wait(LONG_SILENCE_MS * 2);
  t.is(findEffect(waited, 'cancel-attempt'), undefined);
  t.deepEqual(findAttemptOrders(waited), []);
  const written = sendEvents(harness, continuation, 4, 5);
  t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 5)));
});

// Guards against a stream that is lost with its endpoint because its backup still counts, although the
// continuation that was cancelled has used it.
test('a stream whose backup was used is transferred when its endpoint leaves', (t) => {
  const harness = createRequestsHarness();
  const order = startStream(harness, '/memo/1');
  const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
  startAnswer(harness, continuation);
  sendEvents(harness, order, 4, 4);
  const leaving = harness.post({
    to: 'requests',
    kind: 'endpoint-leaving',
    endpoint: order.head.endpointId,
  });
  t.truthy(findEffect([...leaving, ...harness.wait(50)], 'start-transfer'));
});

/** Lets the daemon learn that the endpoint of an attempt leaves. */
const postNotice = (harness: RequestsHarness, { head: { endpointId } }: AttemptOrder) => {
  const leavingAt = harness.getNow();
  harness.holders.set(endpointId, { kind: 'known', leavingAt, dataCentreOutAt: null });
  return harness.post({ to: 'requests', kind: 'endpoint-leaving', endpoint: endpointId });
};

/** Starts a stream whose endpoint is on notice and silent, until its continuation is opened. */
const startLeavingStream = (harness: RequestsHarness, path: string) => {
  const order = startStream(harness, path);
  harness.wait(LONG_SILENCE_MS - 1_200);
  const noticed = [...postNotice(harness, order), ...harness.wait(50)];
  return { order, noticed, continuation: getOrder(harness.wait(1_150)) };
};

// Guards against the same when the notice of the endpoint came before its backup was used: a generation
// with a usable backup is not transferred, and nothing asked again (planned soak, seed 26303).
test('a stream whose backup is used after the notice of its endpoint is transferred', (t) => {
  const harness = createRequestsHarness();
  const { continuation, noticed, order } = startLeavingStream(harness, '/memo/1');
  t.is(findEffect(noticed, 'start-transfer'), undefined);
  connectAttempt(harness, continuation);
  const held = sendEvents(harness, order, 4, 4);
  t.is(findEffect(held, 'cancel-attempt'), undefined);
  const effects = harness.wait(MAX_OVERLAP_MS);
  t.is(findEffect(effects, 'cancel-attempt')?.attempt, continuation.attempt);
  t.deepEqual(findWritten(effects), Buffer.from(buildEvents(4, 4)));
  t.truthy(findEffect(effects, 'start-transfer'));
});

// Guards against a stream that is cut when its leaving endpoint breaks off right after the events that
// it made during its silence: they ended the continuation, which had used the only copy (planned soak,
// seeds 26303, 32212, 36106 and 36123).
test('a stream whose leaving endpoint breaks off after its silence is continued', (t) => {
  for (const path of PATHS) {
    for (const head of ['before', 'after'] as const) {
      const harness = createRequestsHarness();
      const { continuation, order } = startLeavingStream(harness, path);
      if (head === 'before') startAnswer(harness, continuation);
      else connectAttempt(harness, continuation);
      const held = sendEvents(harness, order, 4, 6);
      t.is(findEffect(held, 'cancel-attempt'), undefined);
      const broken = resetConnection(harness, order);
      t.is(findEffect(broken, 'break-answer'), undefined);
      if (head === 'after') startAnswer(harness, continuation);
      t.is(continuation.head.lastEventId, '3');
      const written = sendEvents(harness, continuation, 4, 8);
      t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 8)));
      const ended = harness.post({ ...toEvent(continuation), kind: 'answer-ended' });
      t.truthy(findEffect(ended, 'end-answer'));
    }
  }
});

// Guards against a stream that is cut with its endpoint, whose notice has passed, because a continuation
// that takes over 200 ms to answer is ended for it (planned soak, seed 36104): no transfer can follow.
test('a continuation without an answer is kept when the notice of the endpoint has passed', (t) => {
  for (const events of ['held', 'none'] as const) {
    const harness = createRequestsHarness();
    const order = startStream(harness, '/memo/1');
    harness.wait(1_000);
    postNotice(harness, order);
    const continuation = getOrder(harness.wait(LONG_SILENCE_MS - 1_000));
    connectAttempt(harness, continuation);
    if (events === 'held') sendEvents(harness, order, 4, 6);
    const effects = harness.wait(MAX_OVERLAP_MS);
    t.is(findEffect(effects, 'cancel-attempt')?.attempt, order.attempt);
    t.is(findWritten(effects), undefined);
    harness.post({ ...toEvent(continuation), kind: 'answer-started', head: SIGNED_HEAD });
    const written = sendEvents(harness, continuation, 4, 8);
    t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 8)));
  }
});

// Guards against events that are lost while they are held: the continuation may be refused, and the
// stream may be complete with them.
test('held events of a leaving endpoint are passed on when its continuation is not needed', (t) => {
  for (const end of ['refused', 'whole'] as const) {
    const harness = createRequestsHarness();
    const { continuation, order } = startLeavingStream(harness, '/memo/1');
    connectAttempt(harness, continuation);
    t.is(findWritten(sendEvents(harness, order, 4, 6)), undefined);
    t.is(findWritten(sendEvents(harness, order, 7, 8)), undefined);
    const effects =
      end === 'refused'
        ? harness.post({ ...toEvent(continuation), kind: 'answer-started', head: REFUSED })
        : harness.post({ ...toEvent(order), kind: 'answer-ended' });
    t.deepEqual(findWritten(effects), Buffer.from(buildEvents(4, 8)));
    t.is(findEffect(effects, 'end-answer') === undefined, end === 'refused');
  }
});

// Guards against events that overtake the held ones when the endpoint does not leave after all: the caller
// would miss those that were held.
test('held events come before later ones when the notice of their endpoint is withdrawn', (t) => {
  const harness = createRequestsHarness();
  const { continuation, order } = startLeavingStream(harness, '/memo/1');
  connectAttempt(harness, continuation);
  t.is(findWritten(sendEvents(harness, order, 4, 5)), undefined);
  const stays = { kind: 'known', leavingAt: null, dataCentreOutAt: null } as const;
  harness.holders.set(order.head.endpointId, stays);
  t.deepEqual(findWritten(sendEvents(harness, order, 6, 7)), Buffer.from(buildEvents(4, 7)));
});

// Guards against a third run of a generation, which nothing ends: its endpoint and the one that continues
// it leave while the continuation has not answered.
test('a stream is not transferred beside its continuation', (t) => {
  const harness = createRequestsHarness();
  const { continuation, order } = startLeavingStream(harness, '/memo/1');
  connectAttempt(harness, continuation);
  const backup = harness.endpoints.findIndex(({ id }) => id === continuation.head.endpointId);
  harness.endpoints[backup] = {
    ...(harness.endpoints[backup] as EndpointRecord),
    phase: 'leaving',
  };
  const effects = [...postNotice(harness, order), ...harness.wait(100)];
  t.is(findEffect(effects, 'start-transfer'), undefined);
});

// Guards against an answer that ends early and looks complete, and against a stream that is cut: a
// leaving endpoint may end its answer in the middle of an event.
test('a stream that ends inside an event while its events are held is continued', (t) => {
  const harness = createRequestsHarness();
  const { continuation, order } = startLeavingStream(harness, '/memo/1');
  startAnswer(harness, continuation);
  const bytes = buildEvents(4, 6).subarray(0, -3);
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes });
  const ended = harness.post({ ...toEvent(order), kind: 'answer-ended' });
  t.is(findEffect(ended, 'end-answer'), undefined);
  t.is(findEffect(ended, 'break-answer'), undefined);
  const written = sendEvents(harness, continuation, 4, 8);
  t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 8)));
});

// Guards against an answer that ends early and looks complete: a continuation that ends without an event
// means that nothing was left, which held events of the other endpoint contradict.
test('a continuation that ends without the held events does not complete the stream', (t) => {
  const harness = createRequestsHarness();
  const { continuation, order } = startLeavingStream(harness, '/memo/1');
  startAnswer(harness, continuation);
  sendEvents(harness, order, 4, 6);
  const effects = harness.post({ ...toEvent(continuation), kind: 'answer-ended' });
  t.is(findEffect(effects, 'end-answer'), undefined);
  t.is(findEffect(effects, 'break-answer'), undefined);
  t.deepEqual(findWritten(effects), Buffer.from(buildEvents(4, 6)));
});

// Guards against a continuation that is cancelled at the end of the overlap, although the connection
// to the silent endpoint is broken and only its probe is pending.
test('a continuation outlasts the overlap when the silent endpoint broke off', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('pending');
  const order = startStream(harness, '/memo/1');
  const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
  connectAttempt(harness, continuation);
  resetConnection(harness, order);
  t.is(findEffect(harness.wait(MAX_OVERLAP_MS), 'cancel-attempt'), undefined);
  harness.post({ ...toEvent(order), kind: 'endpoint-probed', result: 'refused' });
  harness.post({ ...toEvent(continuation), kind: 'answer-started', head: SIGNED_HEAD });
  const written = sendEvents(harness, continuation, 4, 5);
  t.deepEqual(findWritten(written), Buffer.from(buildEvents(4, 5)));
});

// Guards against a resumable stream that is cut when its endpoint leaves: the continuation that was
// cancelled counts as a run, so no further endpoint may run it (planned soak, seed 36123).
test('a resumable stream that may not run again is transferred when its endpoint leaves', (t) => {
  for (const [winner, expected] of [
    ['silent', 'transferred'],
    ['none', 'left'],
  ] as const) {
    const harness = createRequestsHarness();
    const order = startStream(harness, '/summary/1');
    if (winner === 'silent') {
      startAnswer(harness, getOrder(harness.wait(LONG_SILENCE_MS)));
      sendEvents(harness, order, 4, 4);
    }
    const effects = [...postNotice(harness, order), ...harness.wait(50)];
    const isTransferred = findEffect(effects, 'start-transfer') !== undefined;
    t.is(isTransferred, expected === 'transferred');
  }
});

// Guards against a stream that reaches more endpoints than its route permits, because an attempt that
// the overlap ended was not counted as a run.
test('a stream reaches no more endpoints than permitted by repeated silences', (t) => {
  for (const winner of ['silent', 'continuation'] as const) {
    const harness = createRequestsHarness();
    const first = startStream(harness, '/summary/1');
    const second = getOrder(harness.wait(LONG_SILENCE_MS));
    startAnswer(harness, second);
    sendEvents(harness, winner === 'silent' ? first : second, 4, 5);
    t.deepEqual(findAttemptOrders(harness.wait(LONG_SILENCE_MS * 2)), []);
  }
});

// Guards against new requests at an endpoint that fell silent, and against logs that do not say how a
// silent attempt ended, when the continuation answers at once.
test('a silent endpoint whose stream another one continues counts as failed', (t) => {
  const harness = createRequestsHarness();
  const first = startStream(harness, '/memo/1');
  const second = getOrder(harness.wait(LONG_SILENCE_MS));
  startAnswer(harness, second);
  const effects = sendEvents(harness, second, 4, 4);
  const observed = effects.flatMap((effect) =>
    effect.kind === 'post' && effect.event.kind === 'attempt-observed' ? [effect.event] : [],
  );
  t.like(observed[0], { endpoint: first.head.endpointId, observation: { kind: 'failed' } });
  t.true(effects.some((effect) => effect.kind === 'log' && effect.name === 'attempt-ended'));
});

// Guards against a lost stream because a continuation that its backup refused, and which has used
// nothing, counts as the use of the backup.
test('a refused continuation leaves the backup usable', (t) => {
  const harness = createRequestsHarness();
  const order = startStream(harness, '/memo/1');
  const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
  startAnswer(harness, continuation, REFUSED);
  sendEvents(harness, order, 4, 4);
  const resumed = getOrder(resetConnection(harness, order));
  t.deepEqual(resumed.address, continuation.address);
});

// Guards against a lost stream when the connection to the endpoint that should continue it takes long:
// the silent endpoint was given up as soon as the request was sent, before the other could refuse.
test('a continuation that connects late can still refuse before the silent endpoint is given up', (t) => {
  for (const connectMs of [280, 580]) {
    const harness = createRequestsHarness();
    const order = startStream(harness, '/memo/1');
    const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
    harness.wait(connectMs - SINCE_OPENED_MS);
    connectAttempt(harness, continuation);
    t.is(findEffect(harness.wait(REFUSAL_MS), 'cancel-attempt'), undefined);
    harness.post({ ...toEvent(continuation), kind: 'answer-started', head: REFUSED });
    t.is(findEffect(harness.wait(MAX_OVERLAP_MS), 'cancel-attempt'), undefined);
    t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
  }
});

// Guards against a lost stream when the endpoint that should continue it is silent, too, and refuses
// late (planned soak, seed 26001): the first one had been given up, although it would have gone on.
test('a stream stays at its silent endpoint when its continuation is not answered', (t) => {
  const harness = createRequestsHarness();
  const order = startStream(harness, '/memo/1');
  const continuation = getOrder(harness.wait(LONG_SILENCE_MS));
  connectAttempt(harness, continuation);
  const cancelled = harness
    .wait(MAX_OVERLAP_MS)
    .flatMap((effect) => (effect.kind === 'cancel-attempt' ? [effect.attempt] : []));
  t.deepEqual(cancelled, [continuation.attempt]);
  t.deepEqual(findWritten(sendEvents(harness, order, 4, 5)), Buffer.from(buildEvents(4, 5)));
});
