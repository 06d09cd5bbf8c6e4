import test from 'ava';
import {
  buildEvents,
  createRequestsHarness,
  findEffect,
  findAttemptOrders,
  SIGNED_HEAD,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import { DEMAND } from '../../decisions/forwarding/forwarding.fixture.js';
import type { GenerationDemand } from '../../decisions/forwarding/types.js';
import type { AttemptOrder, GatewayEffect } from '../events.js';
import type { TransferResult } from '../types.js';

const toEvent = ({ attempt, key }: AttemptOrder) => ({ to: 'requests', key, attempt }) as const;

const findTransfers = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'start-transfer' ? [effect] : []));

/** Starts memos on the only engine there is, so that none has a copy, and then adds the others. */
const startMemos = (
  harness: RequestsHarness,
  count: number,
  demands: readonly GenerationDemand[] = [],
): readonly AttemptOrder[] => {
  const others = harness.endpoints.splice(1, 2);
  const orders = Array.from({ length: count }, (_, index) => {
    const demand = demands[index] ?? DEMAND;
    const id = `r-${index.toString()}`;
    const [order] = findAttemptOrders(harness.sendRequest('/memo/1', { id, demand }));
    if (order === undefined) throw new Error('no attempt was opened');
    const head = { ...SIGNED_HEAD, requestId: id };
    harness.post({ ...toEvent(order), kind: 'attempt-sent' });
    harness.post({ ...toEvent(order), kind: 'answer-started', head });
    harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: buildEvents(1, 9) });
    return order;
  });
  harness.endpoints.push(...others);
  return orders;
};

const announceLeaving = (harness: RequestsHarness): readonly GatewayEffect[] => {
  const [first] = harness.endpoints;
  if (first !== undefined) harness.endpoints[0] = { ...first, phase: 'leaving' };
  return [
    ...harness.post({ to: 'requests', kind: 'endpoint-leaving', endpoint: 'e-1' }),
    ...harness.wait(25),
  ];
};

const endStep = (harness: RequestsHarness, order: AttemptOrder, result: TransferResult) =>
  harness.post({ ...toEvent(order), kind: 'transfer-ended', result });

const COPIED: TransferResult = { kind: 'copied', handle: 'h-1', events: 9 };

// Guards against a generation that is lost with an engine that said it would leave.
test('a generation is copied, stopped, and goes on at the target', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [copy] = findTransfers(announceLeaving(harness));
  t.is(copy?.order.mode, 'copy');
  const [stop] = findTransfers(endStep(harness, order, COPIED));
  t.is(stop?.order.mode, 'stop');
  t.deepEqual(stop?.order.target, copy?.order.target);
  // The source closes its stream before the answer to the order comes.
  const closed = harness.post({
    ...toEvent(order),
    kind: 'attempt-failed',
    failure: { kind: 'broken', message: 'aborted' },
  });
  t.deepEqual(closed, []);
  const effects = endStep(harness, order, COPIED);
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, copy?.order.target);
  t.deepEqual(next?.head.copy, { kind: 'transfer', source: order.address, handle: 'h-1' });
  t.is(next?.head.lastEventId, '9');
});

// Guards against copies that wait for each other on the link of the engine that leaves.
test('generations of one engine are taken one after the other', (t) => {
  const harness = createRequestsHarness();
  const orders = startMemos(harness, 3);
  const first = findTransfers(announceLeaving(harness));
  t.is(first.length, 1);
  const order = orders.find(({ key }) => key === first[0]?.key) as AttemptOrder;
  endStep(harness, order, COPIED);
  t.deepEqual(findTransfers(harness.wait(50)), []);
  endStep(harness, order, COPIED);
  t.is(findTransfers(harness.wait(20)).length, 1);
});

// Guards against two daemons that use the link of the engine at once: both copies, and what the
// first generation made since its copy, would wait for each other.
test('a daemon waits while another has a generation of more worth there', (t) => {
  const harness = createRequestsHarness();
  startMemos(harness, 1);
  harness.peerPrioritySources.add('e-1');
  t.deepEqual(findTransfers([...announceLeaving(harness), ...harness.wait(1_500)]), []);
  harness.peerPrioritySources.delete('e-1');
  t.is(findTransfers(harness.wait(20)).length, 1);
});

// Guards against a notice that is used up on generations of little worth.
test('the generation of most worth goes first', (t) => {
  const harness = createRequestsHarness();
  const demands = [200, 800, 400].map((expectedOutputTokens) => ({
    ...DEMAND,
    expectedOutputTokens,
  }));
  const orders = startMemos(harness, 3, demands);
  const [first] = findTransfers(announceLeaving(harness));
  t.is(first?.key, orders[1]?.key);
});

// Guards against a generation that stays because the first target has no room.
test('a target without room is replaced by another', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [first] = findTransfers(announceLeaving(harness));
  endStep(harness, order, { kind: 'no-room', handle: null });
  const [second] = findTransfers(harness.wait(150));
  t.notDeepEqual(second?.order.target, first?.order.target);
});

// Guards against a generation that is lost when the target fills up after the source stopped.
test('a stopped generation goes on at its source when the target has no room', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  endStep(harness, order, COPIED);
  const effects = endStep(harness, order, { kind: 'no-room', handle: 'h-2' });
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, order.address);
  t.deepEqual(next?.head.copy, { kind: 'transfer', source: order.address, handle: 'h-2' });
});

// Guards against a generation that is lost with the answer to the last order, though the target has
// all but its end.
test('a generation goes on from its first copy when the rest could not be copied', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  const [stop] = findTransfers(endStep(harness, order, COPIED));
  harness.post({
    ...toEvent(order),
    kind: 'attempt-failed',
    failure: { kind: 'broken', message: 'aborted' },
  });
  const effects = endStep(harness, order, { kind: 'failed', message: 'reset' });
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, stop?.order.target);
  t.deepEqual(next?.head.copy, { kind: 'transfer', source: order.address, handle: 'h-1' });
  t.is(next?.head.lastEventId, '9');
});

// Guards against a generation that begins anew at a target which has lost the copy: its caller would
// get parts of two runs.
test('a copy is not used at a new life of its holder', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  endStep(harness, order, COPIED);
  harness.endpoints.splice(
    0,
    harness.endpoints.length,
    ...harness.endpoints.map((record) => ({ ...record, startedAt: 2 })),
  );
  const effects = endStep(harness, order, COPIED);
  t.deepEqual(findAttemptOrders(effects), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against a second run of a generation whose target refuses it after the source stopped: its
// caller would get parts of two runs (hunt of clt-pool, trouble-1, seed 164376420051).
test('a generation that its target refuses after a transfer does not begin anew', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  endStep(harness, order, COPIED);
  const [next] = findAttemptOrders(endStep(harness, order, COPIED)) as [AttemptOrder];
  harness.post({ ...toEvent(next), kind: 'attempt-sent' });
  const refusal = { status: 421, signature: 'unsigned', proof: 'not-run' } as const;
  const head = { ...SIGNED_HEAD, ...refusal, requestId: 'r-0' };
  const effects = harness.post({ ...toEvent(next), kind: 'answer-started', head });
  t.deepEqual(findAttemptOrders([...effects, ...harness.wait(500)]), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against memory that stays taken by the copy of a generation that has ended.
test('a copy is freed when the generation ends first', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  endStep(harness, order, COPIED);
  const effects = harness.post({ to: 'requests', kind: 'caller-gone', key: order.key });
  t.like(findEffect(effects, 'release-copy'), { address: order.address, handle: 'h-1' });
});

// Guards against a generation that is given up because all engines were full for a moment.
test('a generation that finds no target is tried again', (t) => {
  const harness = createRequestsHarness();
  startMemos(harness, 1);
  const others = harness.endpoints.splice(-2);
  t.deepEqual(findTransfers([...announceLeaving(harness), ...harness.wait(300)]), []);
  harness.endpoints.push(...others);
  t.is(findTransfers(harness.wait(150)).length, 1);
});

// Guards against a caller that waits for a stream whose source stopped and whose target is gone.
test('a transfer that fails after the source stopped ends the stream', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  announceLeaving(harness);
  endStep(harness, order, COPIED);
  harness.post({
    ...toEvent(order),
    kind: 'attempt-failed',
    failure: { kind: 'broken', message: 'aborted' },
  });
  harness.endpoints.splice(0, harness.endpoints.length);
  const effects = endStep(harness, order, { kind: 'failed', message: 'reset' });
  t.truthy(findEffect(effects, 'break-answer'));
  t.is(harness.countOpen(), 0);
});

// Guards against a second copy of a generation that has one already.
test('a generation with a usable copy is not transferred', (t) => {
  const harness = createRequestsHarness();
  const [order] = findAttemptOrders(harness.sendRequest('/memo/1')) as [AttemptOrder];
  t.truthy(order.head.backup);
  const effects = harness.post({
    to: 'requests',
    kind: 'endpoint-leaving',
    endpoint: order.head.endpointId,
  });
  t.deepEqual(effects, []);
});
