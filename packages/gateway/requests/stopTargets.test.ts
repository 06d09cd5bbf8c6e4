import test from 'ava';
import {
  buildEvents,
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  SIGNED_HEAD,
  toEvent,
  toSource,
} from './requests.fixture.js';
import type { TransferResult } from '../types.js';

/** Time in which the first transfer from a leaving endpoint starts. */
const TRANSFER_START_MS = 25;

/** Starts a generation without a backup, whose engine then leaves and has copied it, but did not stop. */
const startCopied = () => {
  const harness = createRequestsHarness();
  harness.setStopResult('pending');
  const load = { requests: 1, tokens: 5_000, waitingTokens: 0, growthTokens: 0 };
  for (const { id } of harness.endpoints) harness.loads.set(id, load);
  const order = getOrder(harness.sendRequest('/memo/1'));
  harness.post({ ...toEvent(order), kind: 'attempt-connected' });
  harness.post({ ...toEvent(order), kind: 'answer-started', head: SIGNED_HEAD });
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: buildEvents(1, 3) });
  const { endpointId } = order.head;
  const leaving = {
    kind: 'known',
    leavingAt: harness.getNow(),
    dataCentreOutAt: null,
  } as const;
  harness.holders.set(endpointId, leaving);
  harness.post({ to: 'requests', kind: 'endpoint-leaving', endpoint: endpointId });
  const copy = findEffect(harness.wait(TRANSFER_START_MS), 'start-transfer');
  const endStep = (result: TransferResult) =>
    harness.post({ ...toEvent(order), kind: 'transfer-ended', source: toSource(order), result });
  endStep({ kind: 'copied', handle: 'h-1', events: 3 });
  endStep({ kind: 'failed', message: 'the answer was cut' });
  const port = copy?.order.target.port;
  const holder = harness.endpoints.find(({ address }) => address.port === port);
  if (holder === undefined) throw new Error('the generation was not copied');
  harness.holders.set(holder.id, leaving);
  return { harness, holder, order };
};

// Guards against a continuation beside a source that may work on, because the only endpoint to name in the
// order to stop, the holder of the copy, gets no new requests.
for (const others of ['listed', 'unlisted'] as const) {
  test(`a source is ordered to stop before its copy is used, the others ${others}`, (t) => {
    const { harness, holder, order } = startCopied();
    const isListed = (id: string): boolean =>
      others === 'listed' ? id !== holder.id : id === order.head.endpointId;
    const kept = harness.endpoints.filter(({ id }) => isListed(id));
    harness.endpoints.splice(0, harness.endpoints.length, ...kept);
    const failure = { kind: 'broken', message: 'reset' } as const;
    const effects = harness.post({ ...toEvent(order), kind: 'attempt-failed', failure });
    t.deepEqual(findEffect(effects, 'stop-run')?.source, toSource(order));
    t.deepEqual(findAttemptOrders(effects), []);
  });
}
