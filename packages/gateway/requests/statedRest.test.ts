import test from 'ava';
import {
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  SIGNED_HEAD,
  toEvent,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import { connectAttempt, REFUSED, resetConnection, startEvents } from './streams.fixture.js';
import { addRest, REST_RETURN_MS } from '../../decisions/forwarding/rest.js';
import { MEMO_ROUTE, SWEEP_ROUTE } from '../../decisions/forwarding/forwarding.fixture.js';
import { NO_STATEMENTS } from '../../decisions/forwarding/statements.js';
import type { AttemptOrder } from '../effects.js';
import type { AnswerHead } from '../types.js';

const LEDGERS = ['l-4', 'l-5', 'l-6'];
const ENGINES = ['e-1', 'e-2', 'e-3'];
const REST_MS = 4_000;

const getEndpoint = (order: AttemptOrder): string => order.head.endpointId;

const listOthers = (all: readonly string[], order: AttemptOrder): readonly string[] =>
  all.filter((id) => id !== getEndpoint(order));

const recordRest = (
  harness: RequestsHarness,
  ids: readonly string[],
  restMs: number = REST_MS,
): void => {
  for (const id of ids) {
    const rest = addRest(harness.statements.get(id)?.rest ?? null, restMs, harness.getNow());
    harness.statements.set(id, { ...NO_STATEMENTS, rest });
  }
};

const UNNAMED_HEAD: AnswerHead = { ...SIGNED_HEAD, requestId: null };

// The tests below guard each against one way in which a request reaches an endpoint within the time for
// which it has asked for rest (BUDGET, issue 42).

test('a request is not placed at a resting endpoint', (t) => {
  const harness = createRequestsHarness();
  recordRest(harness, LEDGERS.slice(1));
  for (let index = 0; index < 20; index += 1)
    t.is(getEndpoint(getOrder(harness.sendRequest('/sweep/1'))), 'l-4');
});

test('a request is not retried at a resting endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  const [other = '', ...rest] = listOthers(LEDGERS, first);
  recordRest(harness, [getEndpoint(first), ...rest]);
  const effects = harness.post({ ...toEvent(first), kind: 'answer-started', head: REFUSED });
  t.is(getEndpoint(getOrder(effects)), other);
});

test('a request is not hedged at a resting endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  recordRest(harness, listOthers(LEDGERS, first));
  t.deepEqual(findAttemptOrders(harness.wait(100)), []);
});

test('a stream is not continued at a resting endpoint', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/summary/1'));
  startEvents(harness, first, UNNAMED_HEAD);
  const [other = '', ...rest] = listOthers(ENGINES, first);
  recordRest(harness, [getEndpoint(first), ...rest]);
  t.is(getEndpoint(getOrder(resetConnection(harness, first))), other);
});

test('a generation has no backup at a resting endpoint', (t) => {
  const harness = createRequestsHarness();
  recordRest(harness, ENGINES.slice(1));
  const first = getOrder(harness.sendRequest('/memo/1'));
  t.is(getEndpoint(first), 'e-1');
  t.is(first.head.backup, null);
});

test('a generation is transferred to no resting endpoint', (t) => {
  const harness = createRequestsHarness();
  const others = harness.endpoints.splice(1, 2);
  startEvents(harness, getOrder(harness.sendRequest('/memo/1')), UNNAMED_HEAD);
  harness.endpoints.push(...others);
  recordRest(harness, ['e-2']);
  const leavingAt = harness.getNow();
  harness.statements.set('e-1', { ...NO_STATEMENTS, leavingAt });
  const leaving = { to: 'requests', kind: 'endpoint-leaving', endpoint: 'e-1' } as const;
  const effects = [...harness.post(leaving), ...harness.wait(25)];
  t.deepEqual(findEffect(effects, 'start-transfer')?.order.target, others[1]?.address);
});

test('a generation whose backup rests is transferred when its endpoint leaves', (t) => {
  const transfer = (backup: 'rests' | 'is willing') => {
    const harness = createRequestsHarness();
    const first = getOrder(harness.sendRequest('/memo/1'));
    startEvents(harness, first, UNNAMED_HEAD);
    const holder = harness.endpoints.find(({ address }) => address === first.head.backup);
    if (backup === 'rests') recordRest(harness, [holder?.id ?? '']);
    const leavingAt = harness.getNow();
    const endpoint = getEndpoint(first);
    harness.statements.set(endpoint, { ...NO_STATEMENTS, leavingAt });
    const leaving = { to: 'requests', kind: 'endpoint-leaving', endpoint } as const;
    return findEffect([...harness.post(leaving), ...harness.wait(25)], 'start-transfer');
  };
  t.is(transfer('is willing'), undefined);
  t.truthy(transfer('rests'));
});

// Guards beside it against generations that are lost although the rule lets a request through.
test('one generation resumes from a copy at a resting endpoint in each rest', (t) => {
  const harness = createRequestsHarness();
  harness.endpoints.splice(2, 1);
  const orders = [1, 2, 3].map(() => {
    const order = getOrder(harness.sendRequest('/memo/1'));
    startEvents(harness, order, UNNAMED_HEAD);
    harness.wait(1);
    return order;
  });
  // Two of the three have the same of the two engines as their backup.
  const first = orders.find((order) =>
    orders.some((other) => other !== order && getEndpoint(other) === getEndpoint(order)),
  );
  if (first === undefined) throw new Error('no two generations are at one endpoint');
  const second = orders.find(
    (order) => order !== first && getEndpoint(order) === getEndpoint(first),
  );
  if (second === undefined) throw new Error('no two generations are at one endpoint');
  t.truthy(first.head.backup);
  t.deepEqual(second.head.backup, first.head.backup);
  recordRest(harness, ENGINES);
  const resumed = getOrder(resetConnection(harness, first));
  t.truthy(findEffect(connectAttempt(harness, resumed), 'send-attempt'));
  t.deepEqual(findAttemptOrders(resetConnection(harness, second)), []);
});

test('an attempt that was connecting when its endpoint asked for rest is not sent', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/sweep/1'));
  recordRest(harness, [getEndpoint(first)]);
  const effects = connectAttempt(harness, first);
  t.is(findEffect(effects, 'send-attempt'), undefined);
  t.truthy(findEffect(effects, 'cancel-attempt'));
  t.not(getEndpoint(getOrder(effects)), getEndpoint(first));
});

// Guards against a caller that is held although nothing can take its request, and against one that is told
// to come back before the first endpoint returns, or together with all others.
test('a request is refused at once, until the first endpoint returns, when all rest or leave', (t) => {
  const harness = createRequestsHarness();
  recordRest(harness, ['l-4'], 3_000);
  recordRest(harness, ['l-5'], REST_MS);
  harness.statements.set('l-6', { ...NO_STATEMENTS, leavingAt: harness.getNow() });
  const delays = Array.from({ length: 20 }, () => {
    const failure = findEffect(harness.sendRequest('/sweep/1'), 'refuse')?.failure;
    t.is(failure?.verdict, 'not-run');
    return failure?.retryAfterMs ?? 0;
  });
  t.true(delays.every((delayMs) => delayMs >= 3_000 && delayMs <= 3_000 + REST_RETURN_MS));
  t.true(new Set(delays).size > 10);
  t.is(harness.countOpen(), 0);
});

// Guards against a refusal of a request that could have waited for the end of a short rest.
test('a request waits for a rest that ends within its placement wait', (t) => {
  const harness = createRequestsHarness();
  recordRest(harness, LEDGERS, SWEEP_ROUTE.targetMs * 0.05);
  const effects = harness.sendRequest('/sweep/1');
  t.is(findEffect(effects, 'refuse'), undefined);
  t.is(findAttemptOrders(harness.wait(SWEEP_ROUTE.targetMs)).length, 1);
});

// Guards against a caller who waits for its deadline, and then for a 504 that promises nothing, although
// its request can have no endpoint before (issue 42).
test('a request whose deadline is shorter than its placement wait is refused before it', (t) => {
  const harness = createRequestsHarness();
  harness.endpoints.splice(0);
  const callerTimeoutMs = MEMO_ROUTE.targetMs * 0.05;
  const effects = [
    ...harness.sendRequest('/memo/1', { callerTimeoutMs }),
    ...harness.wait(callerTimeoutMs - 1),
  ];
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'not-run');
  t.is(harness.countOpen(), 0);
});

// Guards against all requests that come in the first moments after a rest reaching the endpoint.
test('a service whose endpoints return gets few requests at first', (t) => {
  const harness = createRequestsHarness();
  harness.endpoints.splice(0, harness.endpoints.length, ...harness.endpoints.slice(3, 4));
  recordRest(harness, ['l-4'], 1_000);
  harness.wait(1_000);
  const countPlaced = () =>
    Array.from({ length: 100 }, () => harness.sendRequest('/sweep/1')).filter(
      (effects) => findAttemptOrders(effects).length > 0,
    ).length;
  t.is(countPlaced(), 2);
  harness.wait(REST_RETURN_MS);
  t.is(countPlaced(), 100);
});
