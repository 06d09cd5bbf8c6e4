import test from 'ava';
import {
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  toEvent,
} from './requests.fixture.js';
import { CORRELATED_CRASH_MS } from '../../decisions/quarantine/constants.js';
import type { RequestsHarness } from './requests.fixture.js';
import { connectAttempt, sendEvents, startAnswer } from './streams.fixture.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';

const send = (harness: RequestsHarness, path: string, body: string, document = 'deadly') =>
  harness.sendRequest(path, {
    body: [Buffer.from(body)],
    promptParts: ['shared', document, body],
  });

const failConnection = (harness: RequestsHarness, order: AttemptOrder) => {
  const failure = { kind: 'broken', message: 'aborted' } as const;
  return harness.post({ ...toEvent(order), kind: 'attempt-failed', failure });
};

/** Sends a request whose endpoint crashes as it begins the answer. */
const sendCrashing = (
  harness: RequestsHarness,
  path: string,
  body: string,
  document = 'deadly',
) => {
  harness.setProbeResult('refused');
  const order = getOrder(send(harness, path, body, document));
  startAnswer(harness, order);
  const effects = failConnection(harness, order);
  harness.setProbeResult('reachable');
  // Crashes at the same instant count as one.
  return [...effects, ...harness.wait(CORRELATED_CRASH_MS)];
};

// Guards against requests of different content that crash one engine after the other with a prompt
// part that they share (BUDGET).
test('a request with a prompt part on which two engines crashed is refused', (t) => {
  const harness = createRequestsHarness();
  sendCrashing(harness, '/memo/1', 'first');
  const second = sendCrashing(harness, '/memo/1', 'second');
  t.true(second.some((effect) => effect.kind === 'log' && effect.name === 'request-quarantined'));
  const effects = send(harness, '/memo/1', 'third');
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'not-run');
});

// Guards against refusing all requests of a caller because of one part that some of them have (LOST).
test('requests that share only other parts with the crashing ones are sent', (t) => {
  const harness = createRequestsHarness();
  const sound = getOrder(send(harness, '/memo/1', 'sound', 'other'));
  startAnswer(harness, sound);
  sendEvents(harness, sound, 1, 2);
  sendCrashing(harness, '/memo/1', 'first');
  sendCrashing(harness, '/memo/1', 'second');
  t.is(findAttemptOrders(send(harness, '/memo/1', 'third', 'other')).length, 1);
  t.is(findAttemptOrders(send(harness, '/memo/1', 'fourth')).length, 0);
});

// Guards against a retry that crashes the next engine.
test('a request that was beginning when its endpoint crashed is not sent to another one', (t) => {
  const harness = createRequestsHarness();
  const effects = sendCrashing(harness, '/summary/1', 'first');
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
});

// Guards against requests that wait at an engine and crash it after their content is known.
test('a waiting request is cancelled when its content is quarantined', (t) => {
  const harness = createRequestsHarness();
  const waiting = getOrder(send(harness, '/memo/1', 'waiting'));
  connectAttempt(harness, waiting);
  sendCrashing(harness, '/memo/1', 'first');
  const effects = sendCrashing(harness, '/memo/1', 'second');
  const cancelled = effects.filter(({ kind }) => kind === 'cancel-attempt');
  t.deepEqual(cancelled, [{ kind: 'cancel-attempt', key: waiting.key, attempt: 1 }]);
});

// Guards against blaming a request for broken connections to an endpoint that still runs.
test('broken connections to reachable, silent or leaving endpoints are no crashes', (t) => {
  for (const [result, phase] of [
    ['reachable', 'ready'],
    ['silent', 'ready'],
    ['refused', 'leaving'],
  ] as const) {
    const harness = createRequestsHarness();
    harness.setProbeResult(result);
    for (const body of ['first', 'second', 'third']) {
      const order = getOrder(send(harness, '/memo/1', body));
      startAnswer(harness, order);
      harness.endpoints.push(
        ...harness.endpoints.splice(0).map((record) => ({ ...record, phase })),
      );
      failConnection(harness, order);
      harness.endpoints.push(
        ...harness.endpoints.splice(0).map((record) => ({ ...record, phase: 'ready' as const })),
      );
    }
    t.is(harness.quarantine.evidence.reports.size, 0, result);
  }
});

// Guards against requests that crash one engine after the other, but are not found because the engines are
// in a data centre that is out, where they still run what they have (BUDGET).
test('crashes in a data centre that is out of service count', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('refused');
  const order = getOrder(send(harness, '/memo/1', 'first'));
  startAnswer(harness, order);
  const { endpointId } = order.head;
  const index = harness.endpoints.findIndex(({ id }) => id === endpointId);
  harness.endpoints.splice(index, 1);
  const dataCentreOutAt = harness.getNow();
  harness.holders.set(endpointId, { kind: 'known', leavingAt: null, dataCentreOutAt });
  failConnection(harness, order);
  t.is(harness.quarantine.evidence.reports.size, 1);
});

/** Sends a request whose engine crashes after some events of its answer. */
const sendBreaking = (harness: RequestsHarness, path: string, body: string, events: number) => {
  harness.setProbeResult('refused');
  const order = getOrder(send(harness, path, body, body));
  startAnswer(harness, order);
  sendEvents(harness, order, 1, events);
  const effects = failConnection(harness, order);
  harness.setProbeResult('reachable');
  harness.wait(CORRELATED_CRASH_MS);
  return effects;
};

// Guards against a request that crashes each engine right after its first event (BUDGET, review/6).
test('a request on which two engines crashed after its first event is refused', (t) => {
  const harness = createRequestsHarness();
  for (let call = 0; call < 2; call += 1) sendBreaking(harness, '/memo/1', 'poison', 1);
  t.deepEqual(findAttemptOrders(send(harness, '/memo/1', 'poison', 'poison')), []);
  t.is(findAttemptOrders(send(harness, '/memo/1', 'sound', 'sound')).length, 1);
});

// Guards against the refusal of sound requests that ran at engines which crashed.
test('a request that engines had answered for longer when they crashed is not refused', (t) => {
  const harness = createRequestsHarness();
  for (let call = 0; call < 4; call += 1) sendBreaking(harness, '/memo/1', 'sound', 2);
  t.is(findAttemptOrders(send(harness, '/memo/1', 'sound', 'sound')).length, 1);
});

test('a stream that may be sent again goes on after a crash that followed its first event', (t) => {
  const harness = createRequestsHarness();
  const [next] = findAttemptOrders(sendBreaking(harness, '/summary/1', 'sound', 1));
  t.is(next?.head.lastEventId, '1');
});

// Guards against a plain call that crashes all endpoints of its service as its caller repeats it.
test('a plain call on which three endpoints crashed is refused', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('refused');
  for (let round = 0; round < 3; round += 1) {
    const order = getOrder(harness.sendRequest('/sweep/1'));
    connectAttempt(harness, order);
    failConnection(harness, order);
    harness.wait(CORRELATED_CRASH_MS);
    const used = harness.endpoints.findIndex(({ id }) => id === order.head.endpointId);
    harness.endpoints.splice(used, 1);
  }
  harness.endpoints.push(...createRequestsHarness().endpoints);
  t.is(findAttemptOrders(harness.sendRequest('/sweep/1')).length, 0);
  t.is(findAttemptOrders(harness.sendRequest('/sweep/2')).length, 1);
});

/** Loses the connection of a request that its endpoint has not begun to answer. */
const failWaiting = (harness: RequestsHarness, order: AttemptOrder): readonly GatewayEffect[] => {
  connectAttempt(harness, order);
  return failConnection(harness, order);
};

// Guards against a request that crashes each endpoint before its answer begins, and of which several
// crashes in a row counted as one: it reached three endpoints again and again (BUDGET, issue 42).
test('a request on which two endpoints crashed in a row is refused after its next one', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('refused');
  const first = getOrder(send(harness, '/lookup/1', 'first'));
  const second = getOrder(failWaiting(harness, first));
  t.deepEqual(findAttemptOrders(failWaiting(harness, second)), []);
  harness.wait(CORRELATED_CRASH_MS);
  // The endpoints start again, and the request comes again.
  const restarted = harness.endpoints.map((endpoint) => ({ ...endpoint, startedAt: 5 }));
  harness.endpoints.splice(0, restarted.length, ...restarted);
  const third = getOrder(send(harness, '/lookup/1', 'first'));
  failWaiting(harness, third);
  t.deepEqual(findAttemptOrders(send(harness, '/lookup/1', 'first')), []);
});
