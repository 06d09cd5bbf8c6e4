import test from 'ava';
import { MAX_ROOM_WAIT_SHARE } from './constants.js';
import { createRequestsHarness, findAttemptOrders } from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import {
  ENGINE_SERVICE,
  MEMO_ROUTE,
  SUMMARY_ROUTE,
} from '../../decisions/forwarding/forwarding.fixture.js';
import type { GatewayEffect } from '../effects.js';

const MEMORY = ENGINE_SERVICE.engine?.memoryTokens ?? 0;

/** Fills all engines, or leaves one of them empty. */
const applyLoads = (harness: RequestsHarness, empty: string | null): void => {
  for (const { id, service } of harness.endpoints) {
    if (service !== ENGINE_SERVICE.name) continue;
    const load = { requests: 6, tokens: MEMORY, waitingTokens: 0, growthTokens: 0 };
    if (id === empty) harness.loads.delete(id);
    else harness.loads.set(id, load);
  }
};

const listPaths = (effects: readonly GatewayEffect[]): readonly string[] =>
  findAttemptOrders(effects).map(({ request }) => request.path);

const countTimers = (effects: readonly GatewayEffect[]): number =>
  effects.filter((effect) => effect.kind === 'schedule' && effect.event.kind === 'room-due').length;

// Guards against requests that take room in the order of their timers, whatever waits beside them.
test('when an engine has room again, the most urgent request that waits is sent first', (t) => {
  const harness = createRequestsHarness();
  applyLoads(harness, null);
  t.true(MEMO_ROUTE.rank > SUMMARY_ROUTE.rank);
  const first = harness.sendRequest('/memo/1');
  t.deepEqual(listPaths(first), []);
  t.deepEqual(listPaths(harness.sendRequest('/summary/2')), []);
  applyLoads(harness, 'e-1');
  const placed = harness.wait(100);
  t.is(listPaths(placed)[0], '/summary/2');
  t.true(listPaths(placed).includes('/memo/1'));
});

// Guards against a new request that takes the room for which a more urgent one waits.
test('a new request does not overtake a more urgent one that waits', (t) => {
  const harness = createRequestsHarness();
  applyLoads(harness, null);
  harness.sendRequest('/summary/1');
  applyLoads(harness, 'e-1');
  t.deepEqual(listPaths(harness.sendRequest('/memo/2')), []);
  t.deepEqual(listPaths(harness.wait(100)), ['/summary/1', '/memo/2']);
});

// Guards against a timer for each request that waits, so that the work grows with their square.
test('one timer serves all requests that wait', (t) => {
  const harness = createRequestsHarness();
  applyLoads(harness, null);
  let timers = 0;
  for (let index = 0; index < 30; index += 1)
    timers += countTimers(harness.sendRequest(`/memo/${index.toString()}`));
  t.is(timers, 1);
});

// Guards against a request that waits until its target has passed because others go before it again and again.
test('a request is sent to a crowded engine when it has waited long enough', (t) => {
  const harness = createRequestsHarness();
  applyLoads(harness, null);
  for (let index = 0; index < 20; index += 1) harness.sendRequest(`/memo/${index.toString()}`);
  const waitMs = MEMO_ROUTE.targetMs * MAX_ROOM_WAIT_SHARE.yields;
  t.is(listPaths(harness.wait(waitMs + 40)).length, 20);
});

// Guards against a request that stays in the room after its caller has left, and keeps others from being sent.
test('a request whose caller leaves makes room for the next one', (t) => {
  const harness = createRequestsHarness();
  applyLoads(harness, null);
  harness.sendRequest('/summary/1', { key: 77 });
  harness.sendRequest('/memo/2');
  harness.post({ to: 'requests', kind: 'caller-disconnected', key: 77 });
  applyLoads(harness, 'e-1');
  t.deepEqual(listPaths(harness.wait(100)), ['/memo/2']);
  t.is(harness.countOpen(), 1);
});
