import test from 'ava';
import {
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  toEvent,
} from './requests.fixture.js';
import { startAnswer, startStream } from './streams.fixture.js';
import type { AttemptOrder } from '../effects.js';

const TRICKLE_MS = 200;
const LIMIT_MS = 5_000;

// Guards against a stalled stream that never ends, because its endpoint sends a byte now and then that
// is no event (a report of another operator).
for (const [name, pieces] of [
  ['comments', [': still here\n\n']],
  ['blank lines', ['\n']],
  ['an event that never ends', ['id: 4\n', 'data: a', 'b']],
] as const) {
  test(`a stream that gets ${name} and no event goes on at another endpoint`, (t) => {
    const harness = createRequestsHarness();
    const order = startStream(harness, '/summary/1');
    const orders: AttemptOrder[] = [];
    for (let waited = 0; waited < LIMIT_MS && orders.length === 0; waited += TRICKLE_MS) {
      const piece = pieces[Math.min(pieces.length - 1, waited / TRICKLE_MS)] ?? '';
      const bytes = Buffer.from(piece);
      harness.post({ ...toEvent(order), kind: 'answer-continued', bytes });
      orders.push(...findAttemptOrders(harness.wait(TRICKLE_MS)));
    }
    t.is(orders[0]?.head.lastEventId, '3');
    t.not(orders[0]?.head.endpointId, order.head.endpointId);
  });
}

// Guards against a call that is kept beyond the timeout of its route by an answer that trickles.
test('a call whose answer trickles ends at its deadline', (t) => {
  const harness = createRequestsHarness();
  const order = getOrder(harness.sendRequest('/sweep/1'));
  startAnswer(harness, order);
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: Buffer.from('a') });
  const effects = harness.post({ to: 'requests', kind: 'deadline-reached', key: order.key });
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'may-have-run');
  const late = Buffer.from('b');
  t.deepEqual(harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: late }), []);
});
