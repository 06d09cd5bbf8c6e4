import test from 'ava';
import {
  createRequestsHarness,
  findAttemptOrders,
  findEffect,
  getOrder,
  RESUMPTION_LIMITS,
  toEvent,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import { connectAttempt, REFUSED, resetConnection, startEvents } from './streams.fixture.js';
import { NO_STATEMENTS } from '../../decisions/forwarding/statements.js';
import type { AttemptOrder } from '../effects.js';

const LEDGERS = ['l-4', 'l-5', 'l-6'];
const ENGINES = ['e-1', 'e-2', 'e-3'];

const getEndpoint = (order: AttemptOrder): string => order.head.endpointId;

/** Lets endpoints say that they leave; the store lists them as ready all the time. */
const recordLeaving = (harness: RequestsHarness, ids: readonly string[]): void => {
  const leavingAt = harness.getNow();
  for (const id of ids) harness.statements.set(id, { ...NO_STATEMENTS, leavingAt });
};

// The tests below guard each against one way in which a request reaches an endpoint that has said in an
// answer that it leaves, while its registration reads ready (DRAIN, issue 42).

test('a request is not placed at an endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  recordLeaving(harness, LEDGERS.slice(1));
  for (let index = 0; index < 20; index += 1)
    t.is(getEndpoint(getOrder(harness.sendRequest('/sweep/1'))), 'l-4');
});

test('a request that waits is refused as not run when all endpoints said that they leave', (t) => {
  const harness = createRequestsHarness();
  recordLeaving(harness, LEDGERS);
  const effects = [...harness.sendRequest('/sweep/1'), ...harness.wait(50)];
  t.deepEqual(findAttemptOrders(effects), []);
  t.is(findEffect(effects, 'refuse')?.failure.verdict, 'not-run');
  t.is(harness.countOpen(), 0);
});

test('a request is not retried at an endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  const [other = ''] = LEDGERS.filter((id) => id !== getEndpoint(first));
  recordLeaving(
    harness,
    LEDGERS.filter((id) => id !== other),
  );
  const effects = harness.post({ ...toEvent(first), kind: 'answer-started', head: REFUSED });
  t.is(getEndpoint(getOrder(effects)), other);
});

test('a request is not hedged at an endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  recordLeaving(
    harness,
    LEDGERS.filter((id) => id !== getEndpoint(first)),
  );
  t.deepEqual(findAttemptOrders(harness.wait(100)), []);
});

test('a stream is not continued at an endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/summary/1'));
  startEvents(harness, first);
  const [other = ''] = ENGINES.filter((id) => id !== getEndpoint(first));
  recordLeaving(
    harness,
    ENGINES.filter((id) => id !== other),
  );
  t.is(getEndpoint(getOrder(resetConnection(harness, first))), other);
});

test('a generation has no backup at an endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  recordLeaving(harness, ENGINES.slice(1));
  const first = getOrder(harness.sendRequest('/memo/1'));
  t.is(getEndpoint(first), 'e-1');
  t.is(first.head.backup, null);
});

test('a generation is transferred to no endpoint that said that it leaves', (t) => {
  const harness = createRequestsHarness();
  const others = harness.endpoints.splice(1, 2);
  startEvents(harness, getOrder(harness.sendRequest('/memo/1')));
  harness.endpoints.push(...others);
  recordLeaving(harness, ['e-1', 'e-2']);
  const leaving = { to: 'requests', kind: 'endpoint-leaving', endpoint: 'e-1' } as const;
  const effects = [...harness.post(leaving), ...harness.wait(25)];
  t.deepEqual(findEffect(effects, 'start-transfer')?.order.target, others[1]?.address);
});

test('a generation resumes from a copy at a leaving endpoint within its notice only', (t) => {
  const resumeAfter = (delayMs: number) => {
    const harness = createRequestsHarness();
    const first = getOrder(harness.sendRequest('/memo/1'));
    startEvents(harness, first);
    recordLeaving(harness, ENGINES);
    harness.wait(delayMs);
    return findAttemptOrders(resetConnection(harness, first)).length;
  };
  t.is(resumeAfter(0), 1);
  t.is(resumeAfter(RESUMPTION_LIMITS.leavingMs), 0);
});

test('an attempt that was connecting when its endpoint said that it leaves is not sent', (t) => {
  const harness = createRequestsHarness();
  for (const path of ['/sweep/1', '/lookup/1']) {
    const first = getOrder(harness.sendRequest(path));
    recordLeaving(harness, [getEndpoint(first)]);
    const effects = connectAttempt(harness, first);
    t.is(findEffect(effects, 'send-attempt'), undefined);
    t.truthy(findEffect(effects, 'cancel-attempt'));
    t.is(
      effects.some((effect) => effect.kind === 'post' && effect.event.kind === 'attempt-observed'),
      false,
    );
    const next = getOrder(effects);
    t.not(getEndpoint(next), getEndpoint(first));
    t.truthy(findEffect(connectAttempt(harness, next), 'send-attempt'));
    harness.statements.clear();
  }
});

test('a hedge whose endpoint said that it leaves is dropped, and the request goes on', (t) => {
  const harness = createRequestsHarness();
  const first = getOrder(harness.sendRequest('/lookup/1'));
  connectAttempt(harness, first);
  const hedge = getOrder(harness.wait(100));
  recordLeaving(harness, [getEndpoint(hedge)]);
  const effects = connectAttempt(harness, hedge);
  t.is(findEffect(effects, 'send-attempt'), undefined);
  t.is(findEffect(effects, 'refuse'), undefined);
  t.is(harness.countOpen(), 1);
});

// Guards against an unsafe request that counts as run, or as refused too often, although it was never sent.
test('an attempt that was not sent uses up none of the refusals of its request', (t) => {
  const harness = createRequestsHarness();
  let order = getOrder(harness.sendRequest('/sweep/1'));
  for (let index = 0; index < 10; index += 1) {
    harness.statements.clear();
    recordLeaving(harness, [getEndpoint(order)]);
    order = getOrder(connectAttempt(harness, order));
  }
  t.truthy(findEffect(connectAttempt(harness, order), 'send-attempt'));
});
