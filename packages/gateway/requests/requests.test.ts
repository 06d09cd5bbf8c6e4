import test from 'ava';
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
  LONG_SILENCE_MS,
  REFUSED,
  sendEvents,
  startAnswer,
} from './streams.fixture.js';
import {
  DEMAND,
  ENGINE_SERVICE,
  MEMO_ROUTE,
} from '../../decisions/forwarding/forwarding.fixture.js';
import { addCrash } from '../../decisions/quarantine/crashEvidence.js';
import type { AttemptOrder } from '../effects.js';
import type { AttemptFailure } from '../events.js';
import type { AnswerHead } from '../types.js';

const sendAnswer = (
  harness: RequestsHarness,
  order: AttemptOrder,
  head: AnswerHead,
  text: string,
) => [
  ...startAnswer(harness, order, head),
  ...harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: Buffer.from(text) }),
  ...harness.post({ ...toEvent(order), kind: 'answer-ended' }),
];

const failAttempt = (
  harness: RequestsHarness,
  order: AttemptOrder,
  kind: AttemptFailure['kind'] = 'broken',
) => harness.post({ ...toEvent(order), kind: 'attempt-failed', failure: { kind, message: kind } });

const FAILED: AnswerHead = { ...SIGNED_HEAD, status: 500 };

// Guards against a non-idempotent call that runs twice because its connection broke.
test('a non-idempotent call that may have run is not retried', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  connectAttempt(harness, order);
  const effects = failAttempt(harness, order);
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
  t.is(findEffect(effects, 'refuse')?.failure.code, 'endpoint-lost');
  t.is(harness.countOpen(), 0);
});

// Guards against failing a request that provably did not run at any endpoint so far.
test('a call that was refused or not sent is retried at another endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/sweep/1'));
  const second = getOrder(failAttempt(harness, first, 'unreachable'));
  t.not(second.head.endpointId, first.head.endpointId);
  const third = getOrder(startAnswer(harness, second, REFUSED));
  t.false([first, second].some(({ head }) => head.endpointId === third.head.endpointId));
  const effects = sendAnswer(harness, third, SIGNED_HEAD, 'done');
  t.is(Buffer.concat(findEffect(effects, 'send-whole')?.body ?? []).toString(), 'done');
});

// Guards against a `not-run` verdict when only the last attempts were refused, and an earlier one
// may have run.
test('refusals after a broken attempt give the verdict that the request may have run', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  let effects = failAttempt(harness, first);
  for (let round = 0; round < 5 && findAttemptOrders(effects).length > 0; round += 1) {
    effects = startAnswer(harness, getOrder(effects), REFUSED);
  }
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
});

// Guards against failing an idempotent call after an error of its first endpoint, and against
// replacing the last endpoint's error by one of the gateway.
test('an idempotent call is retried at a second endpoint, whose error is forwarded', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  const second = getOrder(sendAnswer(harness, first, FAILED, 'no'));
  const effects = sendAnswer(harness, second, FAILED, 'no again');
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'send-whole')?.head.status, 500);
  t.is(Buffer.concat(findEffect(effects, 'send-whole')?.body ?? []).toString(), 'no again');
});

// Guards against forwarding the answer of another request to the caller.
test('an answer to another request is not forwarded', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  const effects = startAnswer(harness, order, { ...SIGNED_HEAD, requestId: 'r-2' });
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
  t.truthy(findEffect(effects, 'cancel-attempt'));
});

// Guards against forwarding a success that the endpoint did not sign.
test('a success without a signature is not forwarded', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  const effects = startAnswer(harness, order, { ...SIGNED_HEAD, signature: 'unsigned' });
  t.is(findEffect(effects, 'send-whole'), undefined);
  t.is(findEffect(effects, 'refuse')?.failure.code, 'endpoint-lost');
});

// Guards against a slow endpoint that delays an idempotent call.
test('an idempotent call without an answer is hedged, and the first answer wins', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  const second = getOrder(harness.wait(110));
  const effects = sendAnswer(harness, second, SIGNED_HEAD, 'fast');
  t.is(findEffect(effects, 'cancel-attempt')?.attempt, first.attempt);
  t.truthy(findEffect(effects, 'send-whole'));
  t.is(harness.countOpen(), 0);
});

// Guards against refusing a call that an endpoint is running, because no other endpoint is left for a
// hedge: the caller would be told that it has not run, and its answer would be dropped.
test('a call stays at its endpoint when there is none for a hedge', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  const all = harness.endpoints.splice(0, harness.endpoints.length);
  t.is(findEffect(harness.wait(100), 'refuse'), undefined);
  harness.endpoints.push(...all.filter(({ id }) => id === first.head.endpointId));
  t.deepEqual(findAttemptOrders(harness.wait(100)), []);
  t.truthy(findEffect(sendAnswer(harness, first, SIGNED_HEAD, 'ok'), 'send-whole'));
});

// Guards against hedging a call that must run at most once.
test('a non-idempotent call is not hedged', (t) => {
  const harness = createRequestsHarness();
  connectAttempt(harness, getOrder(harness.sendRequest('/sweep/1')));
  t.deepEqual(findAttemptOrders(harness.wait(400)), []);
});

// Guards against a caller that waits longer than the timeout of its route.
test('a request ends at the timeout of its route', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  connectAttempt(harness, order);
  const effects = harness.wait(600);
  t.is(findEffect(effects, 'refuse')?.failure.code, 'deadline-exceeded');
  t.truthy(findEffect(effects, 'cancel-attempt'));
  t.is(harness.countOpen(), 0);
});

// Guards against endpoints that keep working for a caller that has disconnected.
test('the attempts of a caller that disconnects are cancelled', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/memo/1'));
  const effects = harness.post({ to: 'requests', kind: 'caller-disconnected', key: order.key });
  t.is(findEffect(effects, 'cancel-attempt')?.attempt, order.attempt);
  t.is(harness.countOpen(), 0);
});

// Guards against 401 and 404 answers of a daemon that has not loaded a configuration yet.
test('without a configuration a request is refused as not run', (t) => {
  const harness = createRequestsHarness();
  harness.setConfigured('no');
  const failure = findEffect(harness.sendRequest('/none/1'), 'refuse')?.failure;
  t.is(failure?.code, 'no-endpoint');
  t.is(failure?.verdict, 'not-run');
  harness.setConfigured('yes');
  t.is(findEffect(harness.sendRequest('/none/1'), 'refuse')?.failure.code, 'unknown-service');
  const unknownKey = harness.sendRequest('/memo/1', { credential: 'other' });
  t.is(findEffect(unknownKey, 'refuse')?.failure.code, 'unauthorized');
});

// Guards against events that are lost, duplicated or truncated when an engine crashes while it
// sends one.
test('a stream resumes at its backup after the last complete event', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/memo/1'));
  t.truthy(first.head.backup);
  startAnswer(harness, first);
  const bytes = Buffer.concat([buildEvents(1, 3), Buffer.from('id: 4\nda')]);
  const shown = harness.post({ ...toEvent(first), kind: 'answer-continued', bytes });
  t.deepEqual(findEffect(shown, 'write-answer')?.bytes, Buffer.from(buildEvents(1, 3)));
  const second = getOrder(failAttempt(harness, first));
  t.is(second.head.lastEventId, '3');
  t.deepEqual(second.head.copy, { kind: 'backup', holder: second.address });
  t.deepEqual(second.address, first.head.backup);
  startAnswer(harness, second);
  const rest = sendEvents(harness, second, 4, 5);
  t.is(findEffect(rest, 'start-answer'), undefined);
  t.deepEqual(findEffect(rest, 'write-answer')?.bytes, Buffer.from(buildEvents(4, 5)));
  const ended = harness.post({ ...toEvent(second), kind: 'answer-ended' });
  t.truthy(findEffect(ended, 'end-answer'));
});

// Guards against a second run of a generation whose backup endpoint refuses it: the caller would
// get parts of two runs.
test('a single-run generation is not restarted when its backup is refused', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/memo/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 3);
  const second = getOrder(failAttempt(harness, first));
  const effects = startAnswer(harness, second, REFUSED);
  t.deepEqual(findAttemptOrders(effects), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against an answer that looks complete although its stream was lost.
test('the answer to a stream without a usable backup is left incomplete', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/memo/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 3);
  harness.endpoints.splice(0, harness.endpoints.length);
  const effects = failAttempt(harness, first);
  t.truthy(findEffect(effects, 'break-answer'));
  t.is(findEffect(effects, 'end-answer'), undefined);
});

// Guards against failing a resumable stream that another endpoint can continue.
test('a resumable stream resumes at any endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/summary/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 2);
  const second = getOrder(failAttempt(harness, first));
  t.is(second.head.lastEventId, '2');
  t.is(second.head.copy, null);
  t.not(second.head.endpointId, first.head.endpointId);
});

// Guards against a caller that waits for an engine which stalled without closing its connection.
test('a stalled stream resumes at its backup', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/memo/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 3);
  const second = getOrder(harness.wait(LONG_SILENCE_MS));
  t.is(second.head.lastEventId, '3');
  startAnswer(harness, second);
  t.is(findEffect(harness.wait(400), 'cancel-attempt')?.attempt, first.attempt);
  const resumed = {
    ...toEvent(second),
    kind: 'answer-continued',
    bytes: buildEvents(4, 5),
  } as const;
  t.deepEqual(
    findEffect(harness.post(resumed), 'write-answer')?.bytes,
    Buffer.from(buildEvents(4, 5)),
  );
});

// Guards against a caller that waits for a stalled engine although any endpoint can resume its
// stream.
test('a stalled resumable stream resumes at another endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/summary/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 3);
  const second = getOrder(harness.wait(LONG_SILENCE_MS));
  t.is(second.head.lastEventId, '3');
  t.not(second.head.endpointId, first.head.endpointId);
});

// Guards against a request that crashes one endpoint after another.
test('a request that crashed three endpoints is refused', (t) => {
  const harness = createRequestsHarness();
  for (const [endpoint, at] of [
    ['e-1', 300],
    ['e-2', 600],
    ['e-3', 900],
  ] as const) {
    const content = { whole: '/sweep/1body', parts: [] };
    const report = { content, endpoint, progress: 'waiting', at } as const;
    addCrash(harness.quarantine.evidence, report, at);
  }
  const effects = harness.sendRequest('/sweep/1');
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'not-run');
});

// Guards against refusing a request although an endpoint becomes available shortly afterwards.
test('a request waits briefly for an endpoint and is then refused with a retry-after', (t) => {
  const harness = createRequestsHarness();
  const all = harness.endpoints.splice(0, harness.endpoints.length);
  t.deepEqual(findAttemptOrders(harness.sendRequest('/memo/1')), []);
  harness.endpoints.push(...all);
  t.is(findAttemptOrders(harness.wait(60)).length, 1);
  harness.endpoints.splice(0, harness.endpoints.length);
  const refused = [...harness.sendRequest('/memo/2'), ...harness.wait(400)];
  const failure = findEffect(refused, 'refuse')?.failure;
  t.is(failure?.verdict, 'not-run');
  t.true((failure?.retryAfterMs ?? 0) > 0);
});

// Guards against requests that wait at an engine until their deadline, because it is the only one
// that accepts any and far too many are placed there.
test('a generation is refused soon when the only engine is overloaded', (t) => {
  const harness = createRequestsHarness();
  harness.endpoints.splice(1, 2);
  const { memoryTokens } = ENGINE_SERVICE.engine ?? { memoryTokens: 0 };
  harness.loads.set('e-1', {
    requests: 4,
    tokens: memoryTokens * 2,
    waitingTokens: 0,
    growthTokens: 0,
  });
  const effects = [...harness.sendRequest('/memo/1'), ...harness.wait(MEMO_ROUTE.targetMs / 2)];
  t.deepEqual(findAttemptOrders(effects), []);
  const failure = findEffect(effects, 'refuse')?.failure;
  t.is(failure?.verdict, 'not-run');
  // A caller may wait for up to a third of its remaining time.
  t.true((failure?.retryAfterMs ?? 0) > 7_000 && (failure?.retryAfterMs ?? 0) < 13_000);
  harness.loads.set('e-1', {
    requests: 4,
    tokens: memoryTokens,
    waitingTokens: 0,
    growthTokens: 0,
  });
  const later = [...harness.sendRequest('/memo/2'), ...harness.wait(MEMO_ROUTE.targetMs / 2)];
  t.is(findAttemptOrders(later).length, 1);
});

// Guards against a draining daemon that admits a generation and ends before it is complete.
test('a draining daemon admits only requests that it can finish', (t) => {
  const harness = createRequestsHarness();
  harness.setDrain({ drainedMs: 1_000, leftMs: 6_500 });
  t.is(findAttemptOrders(harness.sendRequest('/memo/1')).length, 1);
  harness.setDrain({ drainedMs: 5_000, leftMs: 2_500 });
  const late = findEffect(harness.sendRequest('/memo/2'), 'refuse')?.failure;
  t.is(late?.code, 'draining');
  t.is(late?.verdict, 'not-run');
  t.true((late?.retryAfterMs ?? 0) > 0);
  t.is(findAttemptOrders(harness.sendRequest('/sweep/1')).length, 1);
  harness.setDrain({ drainedMs: 7_200, leftMs: 300 });
  t.is(findEffect(harness.sendRequest('/sweep/2'), 'refuse')?.failure.code, 'draining');
});

// Guards against a long resumable stream that is interrupted when the draining daemon ends.
test('a draining daemon admits no stream that takes longer than its remaining time', (t) => {
  const harness = createRequestsHarness();
  harness.setDrain({ drainedMs: 3_000, leftMs: 5_000 });
  const inTime = { callerTimeoutMs: 4_900 };
  t.is(findAttemptOrders(harness.sendRequest('/summary/1', inTime)).length, 1);
  const late = { callerTimeoutMs: 5_100, demand: { ...DEMAND, expectedOutputTokens: 20 } };
  const refused = findEffect(harness.sendRequest('/summary/1', late), 'refuse');
  t.is(refused?.failure.code, 'draining');
});

// Guards against a request that was read whole and gets neither an answer nor a refusal when the
// daemon ends, and against a refusal that says that a request has not run although it may have.
test('the requests that are left at the end of a drain are answered', (t) => {
  const harness = createRequestsHarness();
  const sent = getOrder(harness.sendRequest('/sweep/1'));
  connectAttempt(harness, sent);
  const connecting = getOrder(harness.sendRequest('/sweep/2'));
  const begun = getOrder(harness.sendRequest('/memo/1'));
  startAnswer(harness, begun);
  sendEvents(harness, begun, 1, 3);
  const effects = harness.post({ to: 'requests', kind: 'drain-ended' });
  const refusals = effects.flatMap((effect) =>
    effect.kind === 'refuse' ? [[effect.key, effect.failure.verdict]] : [],
  );
  t.deepEqual(refusals, [
    [sent.key, 'may-have-run'],
    [connecting.key, 'not-run'],
  ]);
  t.is(findEffect(effects, 'break-answer')?.key, begun.key);
  t.is(effects.filter(({ kind }) => kind === 'cancel-attempt').length, 3);
  t.is(harness.countOpen(), 0);
});

// Guards against an answer that looks complete although its stream ended inside an event.
test('a stream that ends inside an event is broken off', (t) => {
  for (const framing of ['framed', 'until-close'] as const) {
    const harness = createRequestsHarness();
    const first = getOrder(harness.sendRequest('/summary/1'));
    startAnswer(harness, first, { ...SIGNED_HEAD, framing });
    const bytes = Buffer.concat([buildEvents(1, 2), Buffer.from('id: 3\nda')]);
    harness.post({ ...toEvent(first), kind: 'answer-continued', bytes });
    const effects = harness.post({ ...toEvent(first), kind: 'answer-ended' });
    t.is(findEffect(effects, 'end-answer'), undefined);
    t.is(findEffect(effects, 'write-answer'), undefined);
    t.is(getOrder(effects).head.lastEventId, '2');
  }
});

// Guards against a stream that looks complete because the endpoint that continues it closes its
// connection before the first event.
test('a continuation without a length that ends before its first event is not complete', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/summary/1'));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 2);
  const second = getOrder(failAttempt(harness, first));
  startAnswer(harness, second, { ...SIGNED_HEAD, framing: 'until-close' });
  const effects = harness.post({ ...toEvent(second), kind: 'answer-ended' });
  t.is(findEffect(effects, 'end-answer'), undefined);
});

// Guards against a worker that sends a stream without end, or bytes that are no events, to the caller.
test('a stream with wrong or too many events is cut and resumes elsewhere', (t) => {
  const limited = { ...DEMAND, maxOutputTokens: 5 };
  const endless = buildEvents(1, 40);
  const wrong = Buffer.concat([buildEvents(1, 3), Buffer.from('data: no id\n\n')]);
  for (const bytes of [endless, wrong]) {
    const harness = createRequestsHarness();
    const first = getOrder(harness.sendRequest('/summary/1', { demand: limited }));
    startAnswer(harness, first);
    const effects = harness.post({ ...toEvent(first), kind: 'answer-continued', bytes });
    t.is(findEffect(effects, 'cancel-attempt')?.attempt, first.attempt);
    const second = getOrder(effects);
    t.not(second.head.endpointId, first.head.endpointId);
    t.is(second.head.lastEventId, bytes === wrong ? '3' : '13');
  }
});

// Guards against a stream that is cut because its caller did not say how long it may be.
test('a stream without a limit of its output is not cut', (t) => {
  const harness = createRequestsHarness();
  const unlimited = { ...DEMAND, maxOutputTokens: 0 };
  const order = getOrder(harness.sendRequest('/summary/1', { demand: unlimited }));
  startAnswer(harness, order);
  const bytes = buildEvents(1, 100);
  const effects = harness.post({ ...toEvent(order), kind: 'answer-continued', bytes });
  t.is(findEffect(effects, 'cancel-attempt'), undefined);
  t.deepEqual(findEffect(effects, 'write-answer')?.bytes, Buffer.from(bytes));
});

// Guards against whole answers without end that together exceed the memory of the daemon.
test('endless whole answers are cut, also when each is below the limit of one', (t) => {
  const harness = createRequestsHarness();
  const bytes = Buffer.alloc(1024 * 1024);
  const orders = Array.from({ length: 40 }, () => getOrder(harness.sendRequest('/sweep/1')));
  for (const order of orders) startAnswer(harness, order);
  const effects = orders.flatMap((order) =>
    harness.post({ ...toEvent(order), kind: 'answer-continued', bytes }),
  );
  t.is(effects.filter(({ kind }) => kind === 'cancel-attempt').length, 8);
  t.is(harness.countOpen(), 32);
});

// Guards against a refusal that says that a request has not run although an attempt may have run it.
test('a request that may have run is not refused as not run when no endpoint is left', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  harness.endpoints.splice(0, harness.endpoints.length);
  const effects = [...failAttempt(harness, first), ...harness.wait(300)];
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
});

// Guards against the error of a second endpoint, its head or its text, in the middle of a stream that
// a first one began, and against such a stream that ends as if it were complete.
test('an error of the next endpoint does not enter a stream that has begun', (t) => {
  const heads: readonly AnswerHead[] = [
    FAILED,
    { ...FAILED, signature: 'unsigned', headers: ['Content-Type', 'application/json'] },
    { ...SIGNED_HEAD, status: 404 },
    { ...FAILED, framing: 'until-close' },
    SIGNED_HEAD,
  ];
  for (const head of heads) {
    const harness = createRequestsHarness();
    const first = getOrder(harness.sendRequest('/summary/1'));
    startAnswer(harness, first);
    sendEvents(harness, first, 1, 3);
    const second = getOrder(failAttempt(harness, first));
    let effects = sendAnswer(harness, second, head, '{"error":"no model"}\n\n');
    const later = [...effects];
    for (let round = 0; round < 4 && findAttemptOrders(effects).length > 0; round += 1) {
      effects = sendAnswer(harness, getOrder(effects), head, '{"error":"no model"}\n\n');
      later.push(...effects);
    }
    for (const kind of ['write-answer', 'start-answer', 'send-whole', 'end-answer'] as const) {
      t.is(findEffect(later, kind), undefined, `${kind} ${head.status.toString()}`);
    }
    t.truthy(findEffect(later, 'break-answer'));
  }
});

// Guards against a sound stream that is cut or taken to be complete because of comments.
test('a stream with comments between its events is forwarded byte by byte', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/summary/1'));
  startAnswer(harness, order);
  const parts = [': wait\n\n', buildEvents(1, 2), ': wait\n\n', buildEvents(3, 3)];
  const effects = parts.flatMap((part) =>
    harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: Buffer.from(part) }),
  );
  const written = effects.flatMap((effect) =>
    effect.kind === 'write-answer' ? [Buffer.from(effect.bytes)] : [],
  );
  t.is(
    Buffer.concat(written).toString(),
    parts.map((part) => Buffer.from(part).toString()).join(''),
  );
  t.truthy(findEffect(harness.post({ ...toEvent(order), kind: 'answer-ended' }), 'end-answer'));
});

// Guards against a refusal as not run of a request whose bytes are sent afterwards: the deadline passes
// while the connection of its only attempt has been established but not been reported yet.
test('a request that ended while its attempt was connecting is not sent', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  const effects = harness.post({ to: 'requests', kind: 'deadline-reached', key: order.key });
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'not-run');
  t.deepEqual(connectAttempt(harness, order), []);
  const second = getOrder(harness.sendRequest('/sweep/2'));
  const connected = connectAttempt(harness, second);
  t.is(findEffect(connected, 'send-attempt')?.key, second.key);
  const late = harness.post({ to: 'requests', kind: 'deadline-reached', key: second.key });
  t.is(findEffect(late, 'refuse')?.failure.verdict, 'may-have-run');
});

// Guards against a retry budget that is used up by requests which never reached a second endpoint: their
// callers left while they waited for a place, or were connecting.
test('a retry that is given up before it is sent is returned to the budget', (t) => {
  const harness = createRequestsHarness();
  const refuseFirst = () => {
    const order = getOrder(harness.sendRequest('/lookup/1'));
    return { order, effects: startAnswer(harness, order, REFUSED) };
  };
  for (let count = 0; count < 60; count += 1) {
    const { order, effects } = refuseFirst();
    t.is(findAttemptOrders(effects).length, 1);
    harness.post({ to: 'requests', kind: 'caller-disconnected', key: order.key });
  }
});
