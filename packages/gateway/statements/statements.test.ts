import test from 'ava';
import {
  MAX_REPORTED_LEAVING,
  MAX_STATED_ENDPOINTS,
  MAX_STATED_INCARNATIONS,
} from './constants.js';
import { findStatements, toIncarnation } from './incarnations.js';
import type { StatedIncarnations } from './incarnations.js';
import { createStatementsLogic, hasNews, listStatedLeaving } from './statements.js';
import { createVirtualClock } from '../../core/clock.js';
import { buildEndpoint } from '../../decisions/forwarding/forwarding.fixture.js';
import type { EndpointStatement } from '../../decisions/forwarding/statements.js';
import type { EndpointIncarnation } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { AnsweredRequest, StatementsEvent } from '../events.js';

const ENDPOINT = toIncarnation(buildEndpoint('e-1'));
const NEXT = { ...ENDPOINT, startedAt: 2 };
const LEAVING: EndpointStatement = { kind: 'leaving' };

const createHarness = () => {
  const clock = createVirtualClock(1_000);
  const incarnations: StatedIncarnations = new Map();
  let registered: EndpointIncarnation | null = ENDPOINT;
  const logic = createStatementsLogic({ clock, incarnations, findRegistered: () => registered });
  let { state } = logic.init();
  const post = (event: StatementsEvent): readonly GatewayEffect[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  const toAnswer = (
    statements: readonly EndpointStatement[],
    endpoint = ENDPOINT,
    request: AnsweredRequest | null = { id: 'r-1', sentAt: clock.now() },
  ) => ({ to: 'statements', kind: 'endpoint-answered', endpoint, request, statements }) as const;
  return {
    clock,
    post,
    toAnswer,
    answer: (...args: Parameters<typeof toAnswer>) => post(toAnswer(...args)),
    report: (requestsPerSecond: number | null, observedAt: number) =>
      post({
        to: 'statements',
        kind: 'limit-reported',
        endpoint: 'e-1',
        requestsPerSecond,
        observedAt,
      }),
    find: (endpoint = ENDPOINT) => findStatements(incarnations, endpoint),
    restart: () => {
      ({ state } = logic.init());
    },
    setRegistered: (next: EndpointIncarnation | null) => {
      registered = next;
    },
    getState: () => state,
  };
};

const listPosted = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'post' ? [effect.event.kind] : []));

const listLogged = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'log' ? [effect.name] : []));

// Guards against a limit that an older statement or an earlier incarnation of the endpoint imposes.
test('the newest statement of an endpoint about its request limit counts', (t) => {
  const harness = createHarness();
  const getLimit = () => harness.find()?.limit?.requestsPerSecond;
  t.deepEqual(listLogged(harness.report(2.5, 1_000)), ['endpoint-limited']);
  t.deepEqual(harness.report(2.5, 1_100), []);
  harness.report(9, 1_050);
  t.is(getLimit(), 2.5);
  harness.report(null, 1_200);
  t.is(getLimit(), null);
  t.is(harness.find(NEXT), null);
  harness.setRegistered(null);
  t.deepEqual(harness.report(3, 2_000), []);
});

// Guards against a limit that stays in force although the endpoint no longer states it, and against
// events for all answers of endpoints without a limit.
test('an answer without a limit ends it, and one of a control call does not', (t) => {
  const harness = createHarness();
  const none = harness.toAnswer([]);
  t.false(hasNews(none, harness.getState()));
  harness.answer([{ kind: 'limit', requestsPerSecond: 2 }]);
  t.true(hasNews(none, harness.getState()));
  t.false(hasNews(harness.toAnswer([], ENDPOINT, null), harness.getState()));
  harness.answer([LEAVING], ENDPOINT, null);
  t.is(harness.find()?.limit?.requestsPerSecond, 2);
  harness.clock.advance(10);
  const ended = harness.post(none);
  t.deepEqual(listLogged(ended), ['endpoint-limited']);
  t.deepEqual(listPosted(ended), ['report-changed']);
  t.deepEqual(harness.find()?.limit, { requestsPerSecond: null, observedAt: 1_010 });
  t.false(hasNews(none, harness.getState()));
});

// Guards against a new incarnation of an endpoint that is taken to have the load of the one before.
test('a stated load belongs to one incarnation of an endpoint', (t) => {
  const harness = createHarness();
  harness.answer([{ kind: 'load', running: 3, waiting: 2, slots: 8, slowdown: null }]);
  t.deepEqual(harness.find()?.load, { requests: 5, slowdown: null, observedAt: 1_000 });
  t.is(harness.find(NEXT), null);
  t.is(harness.find({ ...ENDPOINT, address: { host: '127.0.0.1', port: 1 } }), null);
});

// Guards against an endpoint that is used again although it said that it leaves: after a restart of the
// child, after other answers, or through a control call that alone said so (DRAIN, issue 42).
test('the leaving of an incarnation holds and is announced once', (t) => {
  const harness = createHarness();
  const first = harness.answer([LEAVING], ENDPOINT, null);
  t.deepEqual(listLogged(first), ['endpoint-stated']);
  t.deepEqual(listPosted(first), ['endpoint-leaving', 'report-changed']);
  t.deepEqual(listStatedLeaving(harness.getState(), 1_000), ['e-1']);
  t.deepEqual(listStatedLeaving(harness.getState(), 1_001), []);
  harness.clock.advance(60_000);
  harness.restart();
  t.deepEqual(harness.answer([LEAVING]), []);
  t.deepEqual(harness.answer([]), []);
  t.is(harness.find()?.leavingAt, 1_000);
  t.is(harness.find(NEXT), null);
});

// Guards against a wish for rest of which nobody learns, and against a line for each answer of a burst.
test('a rest is logged when it begins or moves, and not shared with peers', (t) => {
  const harness = createHarness();
  const rest = (restMs: number) => harness.answer([{ kind: 'rest', restMs }]);
  const first = rest(4_000);
  t.deepEqual(listLogged(first), ['endpoint-stated']);
  t.deepEqual(listPosted(first), []);
  harness.clock.advance(100);
  t.deepEqual(rest(4_000), []);
  t.is(harness.find()?.rest?.until, 5_100);
  t.deepEqual(listLogged(rest(6_000)), ['endpoint-stated']);
  harness.restart();
  t.is(harness.find()?.rest?.until, 7_100);
  t.is(harness.find(NEXT), null);
  t.true(hasNews(harness.toAnswer([{ kind: 'rest', restMs: 1 }]), harness.getState()));
  t.false(hasNews(harness.toAnswer([]), harness.getState()));
});

// Guards against a log line for each answer of an endpoint whose statements cannot be read.
test('malformed statements are counted, and each subject is logged once', (t) => {
  const harness = createHarness();
  const malformed = { kind: 'malformed', subject: 'rest', text: 'soon' } as const;
  t.deepEqual(
    harness.answer([malformed]).map(({ kind }) => kind),
    ['count', 'log'],
  );
  t.deepEqual(
    harness.answer([malformed]).map(({ kind }) => kind),
    ['count'],
  );
  t.is(harness.answer([{ ...malformed, subject: 'load' }]).length, 2);
});

// Guards against memory that grows with every endpoint that ever said something.
test('the remembered incarnations are limited', (t) => {
  const harness = createHarness();
  for (let startedAt = 0; startedAt <= MAX_STATED_INCARNATIONS; startedAt += 1)
    harness.answer([LEAVING], { ...ENDPOINT, startedAt });
  t.is(harness.getState().incarnations.get('e-1')?.length, MAX_STATED_INCARNATIONS);
  t.is(harness.find({ ...ENDPOINT, startedAt: 0 }), null);
  for (let index = 0; index < MAX_STATED_ENDPOINTS; index += 1)
    harness.answer([LEAVING], { ...ENDPOINT, id: `other-${index.toString()}` });
  t.is(harness.getState().incarnations.size, MAX_STATED_ENDPOINTS);
  t.false(harness.getState().incarnations.has('e-1'));
  t.is(harness.getState().leaving.size, MAX_REPORTED_LEAVING);
});
