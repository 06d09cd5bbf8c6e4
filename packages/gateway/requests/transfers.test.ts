import test from 'ava';
import {
  buildEvents,
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  RESUMPTION_LIMITS,
  SIGNED_HEAD,
  toEvent,
  toSource,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import {
  connectAttempt,
  COPIED,
  endStep,
  LONG_SILENCE_MS,
  MAX_OVERLAP_MS,
  REFUSED,
  resetConnection,
  sendEvents,
  startAnswer,
} from './streams.fixture.js';
import { buildEndpoint, DEMAND } from '../../decisions/forwarding/forwarding.fixture.js';
import type { GenerationDemand } from '../../decisions/forwarding/types.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';
import type { AnswerHead } from '../types.js';

const findTransfers = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'start-transfer' ? [effect] : []));

/** Starts memos while there is only one engine, so that none has a backup, and adds the others. */
const startMemos = (
  harness: RequestsHarness,
  count: number,
  demands: readonly GenerationDemand[] = [],
  framing: AnswerHead['framing'] = 'framed',
): readonly AttemptOrder[] => {
  const others = harness.endpoints.splice(1, 2);
  const orders = Array.from({ length: count }, (_, index) => {
    const demand = demands[index] ?? DEMAND;
    const id = `r-${index.toString()}`;
    const [order] = findAttemptOrders(harness.sendRequest('/memo/1', { id, demand }));
    if (order === undefined) throw new Error('no attempt was opened');
    const head = { ...SIGNED_HEAD, requestId: id, framing };
    startAnswer(harness, order, head);
    sendEvents(harness, order, 1, 9);
    return order;
  });
  harness.endpoints.push(...others);
  return orders;
};

const postLeaving = (harness: RequestsHarness): readonly GatewayEffect[] => {
  const [first] = harness.endpoints;
  if (first !== undefined) harness.endpoints[0] = { ...first, phase: 'leaving' };
  const leavingAt = harness.getNow();
  harness.holders.set('e-1', { kind: 'known', leavingAt, dataCentreOutAt: null });
  return [
    ...harness.post({ to: 'requests', kind: 'endpoint-leaving', endpoint: 'e-1' }),
    ...harness.wait(25),
  ];
};

/** The budget of the harness permits 36 retries at once. */
const MORE_TRIES_THAN_RETRIES = 45;

// Guards against losing a generation with an engine that announced that it is leaving.
test('a generation is copied, stopped and resumed at the target', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [copy] = findTransfers(postLeaving(harness));
  t.is(copy?.order.mode, 'copy');
  const [stop] = findTransfers(endStep(harness, order, COPIED));
  t.is(stop?.order.mode, 'stop');
  t.deepEqual(stop?.order.target, copy?.order.target);
  // The source closes its stream before it answers the order.
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

// Guards against engines that leave with more generations than the budget of retries (issue 42), and
// against a source that is told to stop although its generation may not be sent again.
test('a generation waits at its source while the budget permits no transfer', (t) => {
  const harness = createRequestsHarness();
  startMemos(harness, 1);
  harness.setRetries('spent');
  t.deepEqual(findTransfers(postLeaving(harness)), []);
  t.deepEqual(findTransfers(harness.wait(1_000)), []);
  harness.setRetries('available');
  const [copy] = findTransfers(harness.wait(1_000));
  t.is(copy?.order.mode, 'copy');
});

// Guards against a budget that is used up by transfers of which nothing is sent.
test('a transfer that fails returns its retry', (t) => {
  const harness = createRequestsHarness();
  const orders = startMemos(harness, 3);
  let started = findTransfers(postLeaving(harness));
  let copies = 0;
  for (let tries = 0; tries < MORE_TRIES_THAN_RETRIES; tries += 1) {
    copies += started.length;
    for (const { key } of started) {
      const order = orders.find((each) => each.key === key);
      if (order !== undefined) endStep(harness, order, { kind: 'not-running' });
    }
    started = findTransfers(harness.wait(120));
  }
  t.true(copies >= MORE_TRIES_THAN_RETRIES, copies.toString());
});

// Guards against a stream without length or chunks that looks complete because its source stopped.
test('a stream that ends with its connection resumes at the target of its transfer', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1, [], 'until-close') as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  t.deepEqual(harness.post({ ...toEvent(order), kind: 'answer-ended' }), []);
  t.is(findAttemptOrders(endStep(harness, order, COPIED)).length, 1);
});

// Guards against events beyond the end of a stream, or a cut, when it ends by itself while the order to
// stop it is pending.
test('a stream that ends by itself during the order to stop it is complete', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1, [], 'until-close') as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  t.deepEqual(harness.post({ ...toEvent(order), kind: 'answer-ended' }), []);
  const effects = endStep(harness, order, { kind: 'not-running' });
  t.deepEqual(findAttemptOrders(effects), []);
  t.truthy(findEffect(effects, 'end-answer'));
  t.like(findEffect(effects, 'release-copy'), { handle: 'h-1' });
  t.is(harness.countOpen(), 0);
});

// Guards against an empty answer that looks complete when such a stream ends before its first event.
test('a stream that ends without an event during the order to stop it is not complete', (t) => {
  const harness = createRequestsHarness();
  harness.endpoints.splice(1, 2);
  const [order] = findAttemptOrders(harness.sendRequest('/memo/1')) as [AttemptOrder];
  const head = { ...SIGNED_HEAD, requestId: 'r-1', framing: 'until-close' } as const;
  startAnswer(harness, order, head);
  harness.endpoints.push(buildEndpoint('e-2'));
  postLeaving(harness);
  endStep(harness, order, { ...COPIED, events: 0 });
  t.deepEqual(harness.post({ ...toEvent(order), kind: 'answer-ended' }), []);
  const effects = endStep(harness, order, { kind: 'not-running' });
  t.is(findEffect(effects, 'end-answer'), undefined);
});

// Guards against copies that delay each other on the network link of the leaving engine.
test('generations of one engine are transferred one at a time', (t) => {
  const harness = createRequestsHarness();
  const orders = startMemos(harness, 3);
  const first = findTransfers(postLeaving(harness));
  t.is(first.length, 1);
  const order = orders.find(({ key }) => key === first[0]?.key) as AttemptOrder;
  endStep(harness, order, COPIED);
  t.deepEqual(findTransfers(harness.wait(50)), []);
  endStep(harness, order, COPIED);
  t.is(findTransfers(harness.wait(20)).length, 1);
});

// Guards against two daemons that use the network link of an engine at once: their copies, and the
// tokens that the first generation produced after its copy, would delay each other.
test('a daemon waits while a peer has a generation of higher priority at the same engine', (t) => {
  const harness = createRequestsHarness();
  startMemos(harness, 1);
  harness.peerPrioritySources.add('e-1');
  t.deepEqual(findTransfers([...postLeaving(harness), ...harness.wait(1_500)]), []);
  harness.peerPrioritySources.delete('e-1');
  t.is(findTransfers(harness.wait(20)).length, 1);
});

// Guards against spending the notice of a leaving engine on generations of low priority.
test('the generation of the highest priority is transferred first', (t) => {
  const harness = createRequestsHarness();
  const demands = [200, 800, 400].map((expectedOutputTokens) => ({
    ...DEMAND,
    expectedOutputTokens,
  }));
  const orders = startMemos(harness, 3, demands);
  const [first] = findTransfers(postLeaving(harness));
  t.is(first?.key, orders[1]?.key);
});

// Guards against a generation that is not transferred because the first target lacks capacity.
test('a target without enough capacity is replaced by another', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [first] = findTransfers(postLeaving(harness));
  endStep(harness, order, { kind: 'no-room', handle: null });
  const [second] = findTransfers(harness.wait(150));
  t.notDeepEqual(second?.order.target, first?.order.target);
});

// Guards against losing a generation when the target fills up after the source stopped it.
test('a stopped generation resumes at its source when the target lacks capacity', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  const effects = endStep(harness, order, { kind: 'no-room', handle: 'h-2' });
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, order.address);
  t.deepEqual(next?.head.copy, { kind: 'transfer', source: order.address, handle: 'h-2' });
});

/** Fills the engines so far that generations get no backups, but can be transferred. */
const addLoad = (harness: RequestsHarness): void => {
  for (const { id } of harness.endpoints) {
    harness.loads.set(id, { requests: 1, tokens: 5_000, waitingTokens: 0, growthTokens: 0 });
  }
};

/** Stops a generation whose target has no room any more, and lets it go on at its source. */
const resumeAtSource = (harness: RequestsHarness, order: AttemptOrder): AttemptOrder => {
  endStep(harness, order, COPIED);
  const effects = endStep(harness, order, { kind: 'no-room', handle: 'h-2' });
  const [back] = findAttemptOrders(effects) as [AttemptOrder];
  const head = { ...SIGNED_HEAD, requestId: 'r-0' };
  startAnswer(harness, back, head);
  return back;
};

// Guards against a generation that is lost with its leaving source because it came back there when a
// transfer failed, and was never transferred again.
test('a generation that is back at its leaving source is transferred again', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  addLoad(harness);
  postLeaving(harness);
  const back = resumeAtSource(harness, order);
  t.deepEqual(findTransfers(harness.wait(90)), []);
  const [copy] = findTransfers(harness.wait(20));
  t.like(copy, { key: back.key, attempt: back.attempt });
  t.deepEqual(copy?.order.source, order.address);
});

// Guards against the same when the target refuses the generation after the source stopped it.
test('a generation that its target refused is transferred again to another', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  addLoad(harness);
  postLeaving(harness);
  endStep(harness, order, COPIED);
  const [next] = findAttemptOrders(endStep(harness, order, COPIED)) as [AttemptOrder];
  connectAttempt(harness, next);
  const refusal = { status: 421, signature: 'unsigned', proof: 'not-run' } as const;
  const head = { ...SIGNED_HEAD, ...refusal, requestId: 'r-0' };
  const effects = harness.post({ ...toEvent(next), kind: 'answer-started', head });
  t.deepEqual(findAttemptOrders(effects)[0]?.address, order.address);
  const [copy] = findTransfers(harness.wait(110));
  t.deepEqual(copy?.order.source, order.address);
  t.notDeepEqual(copy?.order.target, next.address);
});

// Guards against a generation that is never transferred because the order to copy it failed.
test('a transfer whose first order fails is tried again', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, { kind: 'failed', message: 'reset' });
  t.deepEqual(findTransfers(harness.wait(90)), []);
  t.is(findTransfers(harness.wait(20)).length, 1);
});

// Guards against a generation that is lost with its target, which began to leave during the transfer.
test('a generation that resumes at a leaving target is transferred from there', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  addLoad(harness);
  const [copy] = findTransfers(postLeaving(harness));
  endStep(harness, order, COPIED);
  const index = harness.endpoints.findIndex(
    ({ address }) => address.port === copy?.order.target.port,
  );
  const target = harness.endpoints[index];
  if (target === undefined) throw new Error('the transfer has no target');
  harness.endpoints[index] = { ...target, phase: 'leaving' };
  const leavingAt = harness.getNow();
  harness.holders.set(target.id, { kind: 'known', leavingAt, dataCentreOutAt: null });
  harness.post({ to: 'requests', kind: 'endpoint-leaving', endpoint: target.id });
  const [next] = findAttemptOrders(endStep(harness, order, COPIED));
  t.deepEqual(next?.address, target.address);
  const [second] = findTransfers(harness.wait(110));
  t.deepEqual(second?.order.source, target.address);
});

// Guards against a stream that is interrupted again and again.
test('the repeated transfers of a generation back off', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  harness.endpoints.push(buildEndpoint('e-7'), buildEndpoint('e-8'));
  addLoad(harness);
  postLeaving(harness);
  let running = order;
  for (const delayMs of [100, 200, 400]) {
    running = resumeAtSource(harness, running);
    t.deepEqual(findTransfers(harness.wait(delayMs - 10)), []);
    t.is(findTransfers(harness.wait(20)).length, 1);
  }
});

// Guards against transfers from a source that may end at any time, which delay those of others.
test('a failed transfer is not tried again after the notice of the source', (t) => {
  for (const [failedAfterMs, transfers] of [
    [1_850, 1],
    [1_900, 0],
  ] as const) {
    const harness = createRequestsHarness();
    const [order] = startMemos(harness, 1) as [AttemptOrder];
    postLeaving(harness);
    harness.wait(failedAfterMs - 25);
    endStep(harness, order, { kind: 'failed', message: 'reset' });
    t.is(findTransfers(harness.wait(3_000)).length, transfers);
  }
});

// Guards against losing a generation when the second order fails, although the target already has
// the first copy.
test('a generation resumes from its first copy when the second copy fails', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
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

/** Lets a generation continue from its first copy beside its silent source, which is leaving. */
const continueFromCopy = () => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  endStep(harness, order, { kind: 'failed', message: 'reset' });
  const [continuation] = findAttemptOrders(harness.wait(LONG_SILENCE_MS));
  if (continuation === undefined) throw new Error('the stream was not continued');
  connectAttempt(harness, continuation);
  return { harness, order, continuation };
};

// Guards against a lost generation whose source was silent and then ended: the target refused the
// continuation from the copy, which still exists, but counted as used since it was ordered.
test('a copy whose use was refused is still used when the source ends', (t) => {
  const { continuation, harness, order } = continueFromCopy();
  t.deepEqual(continuation.head.copy, { kind: 'transfer', source: order.address, handle: 'h-1' });
  harness.post({ ...toEvent(continuation), kind: 'answer-started', head: REFUSED });
  const [next] = findAttemptOrders([...resetConnection(harness, order), ...harness.wait(50)]);
  t.deepEqual(next?.address, continuation.address);
  t.deepEqual(next?.head.copy, continuation.head.copy);
});

// Guards against parts of two runs in one stream: a continuation that was cancelled may have used the
// copy, which therefore counts as lost.
test('a copy is not used again after its continuation was cancelled', (t) => {
  const { continuation, harness, order } = continueFromCopy();
  // The source is leaving, so its events are held until the overlap ends without an answer. Its notice
  // has not passed, so it keeps the stream then.
  const leavingAt = harness.getNow();
  harness.holders.set('e-1', { kind: 'known', leavingAt, dataCentreOutAt: null });
  const bytes = buildEvents(10, 11);
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes });
  const resumed = harness.wait(MAX_OVERLAP_MS);
  t.is(findEffect(resumed, 'cancel-attempt')?.attempt, continuation.attempt);
  t.deepEqual(findEffect(resumed, 'write-answer')?.bytes, Buffer.from(bytes));
  const effects = [...resetConnection(harness, order), ...harness.wait(50)];
  t.deepEqual(findAttemptOrders(effects), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against restarting a generation at a target that has lost the copy: its caller would get
// parts of two runs.
test('a copy is not used at a new incarnation of its holder', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
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

// Guards against a lost generation, and against a second run of it, when its target refuses it after
// the source stopped it: its caller would get nothing more, or parts of two runs (found on clt-pool,
// trouble-1, seed 164376420051).
test('a generation that its target refuses after a transfer resumes at its source only', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  const [next] = findAttemptOrders(endStep(harness, order, COPIED)) as [AttemptOrder];
  const refusal = { status: 421, signature: 'unsigned', proof: 'not-run' } as const;
  const head = { ...SIGNED_HEAD, ...refusal, requestId: 'r-0' };
  const refuse = (refused: AttemptOrder) => startAnswer(harness, refused, head);
  const [back] = findAttemptOrders(refuse(next)) as [AttemptOrder];
  t.deepEqual(back.address, order.address);
  t.deepEqual(back.head.copy, { kind: 'transfer', source: order.address, handle: 'h-1' });
  t.is(back.head.lastEventId, '9');
  const effects = refuse(back);
  t.deepEqual(findAttemptOrders([...effects, ...harness.wait(500)]), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against a generation that is lost because plain retries took the last of the budget between the
// order to stop its source and the refusal of its target (KNOWN-RED 9, soak 43026 and 43028).
test('a generation that its target refuses resumes at its source beside plain retries', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  const refuse = (refused: AttemptOrder, requestId: string) => {
    const refusal = { status: 503, signature: 'unsigned', proof: 'not-run' } as const;
    const head = { ...SIGNED_HEAD, ...refusal, requestId };
    return startAnswer(harness, refused, head);
  };
  for (let index = 0; index < MORE_TRIES_THAN_RETRIES; index += 1) {
    const id = `other-${index.toString()}`;
    const [other] = findAttemptOrders(harness.sendRequest('/memo/1', { id }));
    if (other !== undefined) refuse(other, id);
  }
  const [next] = findAttemptOrders(endStep(harness, order, COPIED)) as [AttemptOrder];
  const [back] = findAttemptOrders(refuse(next, 'r-0'));
  t.deepEqual(back?.address, order.address);
});

// Guards against generations that are lost with their engine because another one ended during its own
// transfer: the next transfer was never started, and the peers waited for it. The copy of the ended
// generation would keep its memory.
test('the next transfer starts when a generation ends during its own', (t) => {
  const ways: readonly ((harness: RequestsHarness, order: AttemptOrder) => void)[] = [
    (harness, order) => {
      harness.post({ ...toEvent(order), kind: 'answer-ended' });
    },
    (harness, { key }) => {
      harness.post({ to: 'requests', kind: 'caller-disconnected', key });
    },
  ];
  for (const end of ways) {
    const harness = createRequestsHarness();
    const orders = startMemos(harness, 2);
    const [first] = findTransfers(postLeaving(harness));
    const order = orders.find(({ key }) => key === first?.key) as AttemptOrder;
    end(harness, order);
    t.deepEqual(findTransfers(harness.wait(50)), []);
    const effects = endStep(harness, order, COPIED);
    t.like(findEffect(effects, 'release-copy'), { source: toSource(order), handle: 'h-1' });
    const [second] = findTransfers(harness.wait(50));
    t.is(second?.key, orders.find(({ key }) => key !== order.key)?.key);
  }
});

// Guards against a lost generation whose target became unavailable during the transfer, as when its data
// centre was taken out: the source still has the stopped generation.
test('a stopped generation resumes at its source when the target is not available', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [copy] = findTransfers(postLeaving(harness));
  endStep(harness, order, COPIED);
  const target = harness.endpoints.findIndex(
    ({ address }) => address.port === copy?.order.target.port,
  );
  harness.endpoints.splice(target, 1);
  const effects = endStep(harness, order, COPIED);
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, order.address);
  t.deepEqual(next?.head.copy, { kind: 'transfer', source: order.address, handle: 'h-1' });
  t.is(findEffect(effects, 'break-answer'), undefined);
});

const removeTarget = (harness: RequestsHarness, port: number | undefined): string => {
  const index = harness.endpoints.findIndex(({ address }) => address.port === port);
  const [target] = harness.endpoints.splice(index, 1);
  if (target === undefined) throw new Error('the transfer has no target');
  return target.id;
};

/** Transfers a generation to an endpoint that is taken from the candidates during the transfer. */
const resumeUnlisted = (
  changeHolders: (harness: RequestsHarness, source: string, target: string) => void,
) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [copy] = findTransfers(postLeaving(harness));
  endStep(harness, order, COPIED);
  const target = removeTarget(harness, copy?.order.target.port);
  harness.endpoints.splice(0, 1);
  changeHolders(harness, order.head.endpointId, target);
  const effects = endStep(harness, order, COPIED);
  return { harness, order, target: copy?.order.target, effects };
};

// Guards against a lost generation whose source was removed and whose target's data centre was taken out
// during the transfer, although both still have it (found on clt-pool, leaving-evacuate, seed 26001).
test('a stopped generation resumes at its target when no endpoint gets new requests', (t) => {
  const { effects, target } = resumeUnlisted((harness, source, id) => {
    const now = harness.getNow();
    harness.holders.set(source, { kind: 'known', leavingAt: now - 310, dataCentreOutAt: null });
    harness.holders.set(id, { kind: 'known', leavingAt: null, dataCentreOutAt: now - 140 });
  });
  const [next] = findAttemptOrders(effects);
  t.deepEqual(next?.address, target);
  t.is(next?.head.lastEventId, '9');
  t.is(findEffect(effects, 'break-answer'), undefined);
});

// Guards against a generation that is lost with its target although its removed source still has it.
test('a stopped generation resumes at its removed source when the target is lost', (t) => {
  const { effects, order } = resumeUnlisted((harness, source) => {
    const leavingAt = harness.getNow() - 310;
    harness.holders.set(source, { kind: 'known', leavingAt, dataCentreOutAt: null });
  });
  t.deepEqual(findAttemptOrders(effects)[0]?.address, order.address);
});

// Guards against a request that reaches a leaving endpoint after its notice, or a data centre that is out
// after the time in which its work has to end.
test('a stopped generation does not resume where its request would arrive too late', (t) => {
  const { effects } = resumeUnlisted((harness, source, id) => {
    const now = harness.getNow();
    const leavingAt = now - RESUMPTION_LIMITS.leavingMs;
    const dataCentreOutAt = now - RESUMPTION_LIMITS.dataCentreOutMs;
    harness.holders.set(source, { kind: 'known', leavingAt, dataCentreOutAt: null });
    harness.holders.set(id, { kind: 'known', leavingAt: null, dataCentreOutAt });
  });
  t.deepEqual(findAttemptOrders(effects), []);
  t.truthy(findEffect(effects, 'break-answer'));
});

// Guards against a stream that is interrupted, or lost with its source, for a target that was lost while
// the generation was copied to it.
test('a generation is not stopped when its target is lost during the copy', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  const [copy] = findTransfers(postLeaving(harness));
  removeTarget(harness, copy?.order.target.port);
  const effects = endStep(harness, order, COPIED);
  t.deepEqual(findTransfers(effects), []);
  t.like(findEffect(effects, 'release-copy'), { source: toSource(order), handle: 'h-1' });
  const [next] = findTransfers(harness.wait(150));
  t.is(next?.order.mode, 'copy');
  t.notDeepEqual(next?.order.target, copy?.order.target);
});

// Guards against memory that the copy of an ended generation keeps in use.
test('a copy is released when its generation ends first', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
  endStep(harness, order, COPIED);
  const effects = harness.post({ to: 'requests', kind: 'caller-disconnected', key: order.key });
  t.like(findEffect(effects, 'release-copy'), { source: toSource(order), handle: 'h-1' });
});

// Guards against giving up a transfer because all engines were briefly full.
test('a transfer without a target is tried again', (t) => {
  const harness = createRequestsHarness();
  startMemos(harness, 1);
  const others = harness.endpoints.splice(-2);
  t.deepEqual(findTransfers([...postLeaving(harness), ...harness.wait(300)]), []);
  harness.endpoints.push(...others);
  t.is(findTransfers(harness.wait(150)).length, 1);
});

// Guards against a caller that waits for a stream whose source stopped and whose target is lost.
test('a stream is left incomplete when its transfer fails after the source stopped', (t) => {
  const harness = createRequestsHarness();
  const [order] = startMemos(harness, 1) as [AttemptOrder];
  postLeaving(harness);
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

// Guards against a needless copy of a generation that can fail over to its backup.
test('a generation with a usable backup is not transferred', (t) => {
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
