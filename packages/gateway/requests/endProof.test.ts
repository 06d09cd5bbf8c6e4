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

const HEAD = { ...SIGNED_HEAD, framing: 'until-close' } as const;

/** Starts an answer without a length, which ends with its connection after some bytes. */
const endAnswer = (harness: RequestsHarness, path: string, bytes: Uint8Array) => {
  const order = getOrder(harness.sendRequest(path));
  harness.post({ ...toEvent(order), kind: 'attempt-connected' });
  harness.post({ ...toEvent(order), kind: 'answer-started', head: HEAD });
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes });
  return { order, effects: harness.post({ ...toEvent(order), kind: 'answer-ended' }) };
};

// Guards against a stream that looks complete after a part of its events, since its endpoint crashed and the
// system ended its connections in order (ORDER, review/7).
test('a stream without a length whose endpoint has crashed goes on elsewhere', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('refused');
  const { effects } = endAnswer(harness, '/summary/1', buildEvents(1, 3));
  t.is(findEffect(effects, 'end-answer'), undefined);
  t.is(getOrder(effects).head.lastEventId, '3');
});

// Guards against a part of an answer that looks like the whole one (MIXED).
test('a plain answer without a length whose endpoint has crashed is not passed on', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('refused');
  const { effects } = endAnswer(harness, '/lookup/1', Buffer.from('a part'));
  t.is(findEffect(effects, 'send-whole'), undefined);
});

test('an answer without a length is complete if its endpoint takes connections or is silent', (t) => {
  for (const result of ['reachable', 'silent'] as const) {
    const harness = createRequestsHarness();
    harness.setProbeResult(result);
    const stream = endAnswer(harness, '/summary/1', buildEvents(1, 3));
    t.truthy(findEffect(stream.effects, 'end-answer'), result);
    const plain = endAnswer(harness, '/lookup/1', Buffer.from('the whole'));
    t.truthy(findEffect(plain.effects, 'send-whole'), result);
    t.is(harness.countOpen(), 0);
  }
});

// Guards against answers that are sent again or broken off as their endpoints leave in order.
test('an answer without a length is complete if its endpoint was to leave', (t) => {
  const harness = createRequestsHarness();
  harness.setProbeResult('pending');
  const { effects, order } = endAnswer(harness, '/summary/1', buildEvents(1, 3));
  t.is(findEffect(effects, 'end-answer'), undefined);
  const { endpointId } = order.head;
  const index = harness.endpoints.findIndex(({ id }) => id === endpointId);
  harness.endpoints.splice(index, 1);
  harness.holders.set(endpointId, { kind: 'known', leavingAt: 1, dataCentreOutAt: null });
  const probed = harness.post({ ...toEvent(order), kind: 'endpoint-probed', result: 'refused' });
  t.truthy(findEffect(probed, 'end-answer'));
  t.deepEqual(findAttemptOrders(probed), []);
});

// Guards against answers that have arrived whole and are not passed on, since the time for them is over (LOST).
test('an answer that is not proved yet is complete at the deadline and at the end of a drain', (t) => {
  const ends = [
    (harness: RequestsHarness, key: number) =>
      harness.post({ to: 'requests', kind: 'deadline-reached', key }),
    (harness: RequestsHarness) => harness.post({ to: 'requests', kind: 'drain-ended' }),
  ];
  for (const end of ends) {
    const harness = createRequestsHarness();
    harness.setProbeResult('pending');
    const stream = endAnswer(harness, '/summary/1', buildEvents(1, 3));
    t.truthy(findEffect(end(harness, stream.order.key), 'end-answer'));
    const plain = endAnswer(harness, '/lookup/1', Buffer.from('the whole'));
    t.truthy(findEffect(end(harness, plain.order.key), 'send-whole'));
    t.is(harness.countOpen(), 0);
  }
});
