import test from 'ava';
import {
  LEAVING_REPORT_VALIDITY_MS,
  MAX_DEPARTED_ENDPOINTS,
  MAX_GONE_INCARNATIONS,
} from './constants.js';
import { createDataCentres } from './dataCentres.js';
import { findHolder } from './holders.js';
import { createMembershipLogic, listLeaving } from './membership.js';
import { createVirtualClock } from '../../core/clock.js';
import { buildEndpoint } from '../../decisions/forwarding/forwarding.fixture.js';
import { NO_STATEMENTS } from '../../decisions/forwarding/statements.js';
import type { GatewayEffect } from '../effects.js';
import type { MembershipEvent } from '../events.js';
import type { ReadScope } from '../feeds/changes.js';
import { recordIncarnation } from '../statements/incarnations.js';
import type { StatedIncarnations } from '../statements/incarnations.js';
import type { RecordChange, RemovalCertainty } from '../types.js';

const CERTAIN: RemovalCertainty = { kind: 'certain' };
const UNCERTAIN: RemovalCertainty = { kind: 'uncertain', since: 1_000, until: 3_000 };

const createHarness = (polled: readonly string[] = []) => {
  const clock = createVirtualClock(1_000);
  const resting = new Set<string>();
  const logic = createMembershipLogic({
    clock,
    dataCentres: createDataCentres(),
    gone: new Map(),
    listPolledEngines: () => polled,
    isResting: ({ id }) => resting.has(id),
  });
  let { state } = logic.init();
  const post = (event: MembershipEvent): readonly GatewayEffect[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  const change = (
    changes: readonly RecordChange[],
    scope: ReadScope = 'changed',
    removals: RemovalCertainty = CERTAIN,
  ) => post({ to: 'membership', kind: 'registrations-changed', changes, scope, removals });
  const restart = (): void => {
    ({ state } = logic.init());
  };
  return {
    clock,
    post,
    change,
    restart,
    resting,
    list: () => [...state.endpoints.keys()],
    getState: () => state,
  };
};

const register = (id: string, fields = {}): RecordChange => ({
  kind: 'endpoint-registered',
  record: buildEndpoint(id, fields),
});

const hasLeavingNotice = (effects: readonly GatewayEffect[]): boolean =>
  effects.some((effect) => effect.kind === 'post' && effect.event.kind === 'endpoint-leaving');

// Guards against generations that stay on an endpoint whose leaving or removal is not announced.
test('leaving and removed endpoints are announced', (t) => {
  const harness = createHarness();
  harness.change([register('e-1'), register('e-2')]);
  t.true(hasLeavingNotice(harness.change([register('e-1', { phase: 'leaving' })])));
  t.true(hasLeavingNotice(harness.change([{ kind: 'endpoint-removed', id: 'e-2' }])));
  t.deepEqual(harness.list(), ['e-1']);
});

// Guards against running endpoints that are dropped because of an outage of the store.
test('an uncertain removal is delayed and cancelled by a new registration', (t) => {
  const harness = createHarness();
  harness.change([register('e-1'), register('e-2')]);
  const removal: RecordChange = { kind: 'endpoint-removed', id: 'e-1' };
  const uncertain: RemovalCertainty = { kind: 'uncertain', since: 1_000, until: 3_000 };
  const [timer] = harness.change([removal], 'changed', uncertain);
  harness.change([{ ...removal, id: 'e-2' }], 'changed', uncertain);
  t.deepEqual(harness.list(), ['e-1', 'e-2']);
  t.is(timer?.kind === 'schedule' ? timer.delayMs : 0, 2_000);
  harness.change([register('e-2')]);
  harness.post({ to: 'membership', kind: 'removal-due', id: 'e-1', removedAt: 1_000 });
  harness.post({ to: 'membership', kind: 'removal-due', id: 'e-2', removedAt: 1_000 });
  t.deepEqual(harness.list(), ['e-2']);
});

// Guards against an endpoint that is never removed because each read of its removal starts the delay
// again.
test('a removal that is read again after the same outage does not start the delay again', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  const removal: RecordChange = { kind: 'endpoint-removed', id: 'e-1' };
  harness.change([removal], 'changed', UNCERTAIN);
  harness.clock.advance(1_000);
  t.deepEqual(harness.change([removal], 'changed', UNCERTAIN), []);
  harness.post({ to: 'membership', kind: 'removal-due', id: 'e-1', removedAt: 1_000 });
  t.deepEqual(harness.list(), []);
});

// Guards against generations that stay on an endpoint which renewed its registration after an
// outage of the store and then stopped: that removal was not caused by the outage.
test('the removal of a registration that was renewed after the outage is certain', (t) => {
  const harness = createHarness();
  harness.clock.advance(500);
  harness.change([register('e-1')]);
  const uncertain: RemovalCertainty = { kind: 'uncertain', since: 1_200, until: 3_000 };
  const effects = harness.change([{ kind: 'endpoint-removed', id: 'e-1' }], 'changed', uncertain);
  t.true(hasLeavingNotice(effects));
  t.deepEqual(harness.list(), []);
});

// Guards against daemons that send requests to an endpoint which another daemon knows to be
// removed. Each daemon reads the feed on its own, and less often the more daemons there are.
test('a removed endpoint is reported to the other daemons', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  const effects = harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  t.true(
    effects.some((effect) => effect.kind === 'post' && effect.event.kind === 'report-changed'),
  );
  t.deepEqual(listLeaving(harness.getState(), 1_000), ['e-1']);
  t.deepEqual(listLeaving(harness.getState(), 1_001), []);
});

// Guards against generations that stay on an endpoint that did not renew its registration.
test('an endpoint without a new registration is removed after the delay', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  const uncertain: RemovalCertainty = { kind: 'uncertain', since: 1_000, until: 3_000 };
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }], 'changed', uncertain);
  const due = { to: 'membership', kind: 'removal-due', id: 'e-1', removedAt: 1_000 } as const;
  t.true(hasLeavingNotice(harness.post(due)));
});

// Guards against new work for a leaving engine: a registration may be read after the engine's
// report although it was written before it.
test('an older registration does not override a report of leaving', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  const report = { phase: 'leaving' } as const;
  harness.post({ to: 'membership', kind: 'report-read', endpoint: 'e-1', report });
  harness.change([register('e-1')]);
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'leaving');
  harness.clock.advance(LEAVING_REPORT_VALIDITY_MS);
  harness.change([register('e-1')]);
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'ready');
});

// Guards against endpoints that are kept forever because their removal was not read.
test('a load removes endpoints that are not in it', (t) => {
  const harness = createHarness();
  harness.change([register('e-1'), register('e-2')]);
  harness.change([register('e-2')], 'all');
  t.deepEqual(harness.list(), ['e-2']);
});

// Guards against failures of an earlier incarnation that count against a new one with the same id.
test('the health of an endpoint is reset when it restarts under the same id', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  const unreachable = { kind: 'unreachable' } as const;
  harness.post({
    to: 'membership',
    kind: 'attempt-observed',
    endpoint: 'e-1',
    observation: unreachable,
  });
  t.true((harness.getState().endpoints.get('e-1')?.health.avoidUntil ?? 0) > 1_000);
  harness.change([register('e-1', { startedAt: 2 })]);
  t.is(harness.getState().endpoints.get('e-1')?.health.avoidUntil, 0);
});

// Guards against an engine whose notice of leaving is missed because the store is unavailable, and against
// polls of one that has asked for rest.
test('a polled engine that reports leaving is announced', (t) => {
  const harness = createHarness(['e-1']);
  harness.change([register('e-1')]);
  const polls = harness.post({ to: 'membership', kind: 'report-poll-due' });
  t.true(polls.some((effect) => effect.kind === 'read-report' && effect.endpoint.id === 'e-1'));
  harness.resting.add('e-1');
  const inRest = harness.post({ to: 'membership', kind: 'report-poll-due' });
  t.false(inRest.some((effect) => effect.kind === 'read-report'));
  const report = { phase: 'leaving' } as const;
  const effects = harness.post({ to: 'membership', kind: 'report-read', endpoint: 'e-1', report });
  t.true(hasLeavingNotice(effects));
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'leaving');
});

// Guards against a data centre that stays out of service although operators returned it while the
// store was unavailable.
test('a load returns data centres to service unless it lists them as out', (t) => {
  const harness = createHarness();
  const out: RecordChange = { kind: 'data-centre-out', dataCentre: 'dc-a' };
  harness.post({
    to: 'membership',
    kind: 'data-centres-changed',
    changes: [out],
    scope: 'changed',
  });
  t.true(harness.getState().dataCentresOut.has('dc-a'));
  harness.post({ to: 'membership', kind: 'data-centres-changed', changes: [], scope: 'changed' });
  t.true(harness.getState().dataCentresOut.has('dc-a'));
  harness.post({ to: 'membership', kind: 'data-centres-changed', changes: [], scope: 'all' });
  t.false(harness.getState().dataCentresOut.has('dc-a'));
});

// Guards against requests to an endpoint that has acknowledged that it leaves, because an older record
// of it is read later, from whichever source and in whatever order.
test('an older record of an incarnation never replaces a newer one', (t) => {
  const records = [1, 2, 3, 4].map((sequence) =>
    register('e-1', { sequence, phase: sequence < 3 ? 'ready' : 'leaving' }),
  );
  const orders = [
    [2, 0, 1, 3],
    [3, 2, 1, 0],
    [0, 2, 1, 1],
    [2, 3, 0, 2],
  ];
  for (const order of orders) {
    const harness = createHarness();
    for (const index of order) {
      const record = records[index];
      if (record !== undefined) harness.change([record], 'restored', UNCERTAIN);
      harness.clock.advance(LEAVING_REPORT_VALIDITY_MS);
    }
    const known = harness.getState().endpoints.get('e-1');
    t.is(known?.record.phase, 'leaving', order.join(' '));
    t.is(known?.record.sequence, Math.max(...order) + 1);
  }
});

// Guards against requests to an endpoint that peers or its own report know as leaving, when its last
// record is read again after a restore.
test('a record that is read again does not end a report of leaving', (t) => {
  const harness = createHarness();
  harness.change([register('e-1', { sequence: 5 })]);
  const report = { phase: 'leaving' } as const;
  harness.post({ to: 'membership', kind: 'report-read', endpoint: 'e-1', report });
  harness.clock.advance(LEAVING_REPORT_VALIDITY_MS);
  harness.change([register('e-1', { sequence: 5 })], 'restored', UNCERTAIN);
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'leaving');
  harness.change([register('e-1', { sequence: 6 })]);
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'ready');
});

// Guards against requests to an endpoint that is gone, because an older copy of the store still has
// its registration, and against an endpoint that is never used again after it came back.
test('a removed incarnation returns only with a newer record', (t) => {
  const harness = createHarness();
  harness.change([register('e-1', { startedAt: 5, sequence: 7 })]);
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  harness.change([register('e-1', { startedAt: 5, sequence: 6 })], 'restored', UNCERTAIN);
  harness.change([register('e-1', { startedAt: 5, sequence: 7 })]);
  harness.change([register('e-1', { startedAt: 4, sequence: 99 })], 'restored', UNCERTAIN);
  t.deepEqual(harness.list(), []);
  harness.change([register('e-1', { startedAt: 5, sequence: 8 })]);
  t.deepEqual(harness.list(), ['e-1']);
});

// Guards against a worker that restarts under its id, with counts that start anew, and is taken for
// its earlier incarnation; also where its clock was set back.
test('a new incarnation counts from its first record on', (t) => {
  const harness = createHarness();
  harness.change([register('e-1', { startedAt: 5, sequence: 70 })]);
  harness.change([register('e-1', { startedAt: 9, sequence: 1 })], 'restored', UNCERTAIN);
  t.like(harness.getState().endpoints.get('e-1')?.record, { startedAt: 9, sequence: 1 });
  harness.change([register('e-1', { startedAt: 5, sequence: 71 })], 'restored', UNCERTAIN);
  t.like(harness.getState().endpoints.get('e-1')?.record, { startedAt: 9, sequence: 1 });
  harness.change([register('e-1', { startedAt: 2, sequence: 1 })]);
  t.like(harness.getState().endpoints.get('e-1')?.record, { startedAt: 2, sequence: 1 });
});

// Guards against a running endpoint that is not used again, because the copy lacked it and its record
// is written again unchanged after the delay of the removal.
test('a removal that was not certain is ended by the same record', (t) => {
  const harness = createHarness();
  harness.change([register('e-1', { sequence: 7 })]);
  harness.change([], 'restored', UNCERTAIN);
  t.deepEqual(harness.list(), ['e-1']);
  harness.clock.advance(2_000);
  harness.post({ to: 'membership', kind: 'removal-due', id: 'e-1', removedAt: 1_000 });
  t.deepEqual(harness.list(), []);
  harness.change([register('e-1', { sequence: 6 })]);
  t.deepEqual(harness.list(), []);
  harness.change([register('e-1', { sequence: 7 })]);
  t.deepEqual(harness.list(), ['e-1']);
});

// Guards against endpoints of other writers, whose records cannot be ordered and would be ignored.
test('records without a start time or sequence are applied in the order of reads', (t) => {
  const harness = createHarness();
  for (const fields of [{ startedAt: null, sequence: 3 }, { sequence: null }]) {
    harness.change([register('e-1', { ...fields, phase: 'leaving' })]);
    harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
    harness.change([register('e-1', { ...fields, sequence: null })], 'restored', UNCERTAIN);
    t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'ready');
  }
});

// Guards against memory that grows with every endpoint that ever left.
test('the removed incarnations that are remembered are limited', (t) => {
  const harness = createHarness();
  for (let index = 0; index < MAX_GONE_INCARNATIONS + 5; index += 1) {
    const id = `e-${index.toString()}`;
    harness.change([register(id, { sequence: 1 }), { kind: 'endpoint-removed', id }]);
  }
  t.is(harness.getState().gone.size, MAX_GONE_INCARNATIONS);
  t.false(harness.getState().gone.has('e-4'));
});

// Guards against requests to an endpoint that left, because the child restarts while a restored store
// has it as ready.
test('a restarted child still knows which incarnations left', (t) => {
  const harness = createHarness();
  const report = { phase: 'leaving' } as const;
  harness.change(['e-1', 'e-2', 'e-3', 'e-4'].map((id) => register(id, { sequence: 3 })));
  harness.change([register('e-1', { sequence: 4, phase: 'leaving' })]);
  harness.change([{ kind: 'endpoint-removed', id: 'e-2' }]);
  harness.post({ to: 'membership', kind: 'report-read', endpoint: 'e-3', report });
  harness.restart();
  const copy = ['e-1', 'e-2', 'e-3', 'e-4'].map((id) => register(id, { sequence: 3 }));
  harness.change(copy, 'all');
  t.deepEqual(harness.list(), ['e-4']);
  harness.change([register('e-1', { sequence: 4, phase: 'leaving' })]);
  harness.change([register('e-3', { sequence: 4 })]);
  t.deepEqual(harness.list(), ['e-4', 'e-1', 'e-3']);
  t.is(harness.getState().endpoints.get('e-1')?.record.phase, 'leaving');
});

// Guards against a generation that is lost although the endpoint that was removed from the list, or whose
// data centre is out, still has it.
test('endpoints that get no new requests are still known as holders of generations', (t) => {
  const harness = createHarness();
  const holder = buildEndpoint('e-1');
  const find = () => findHolder(holder, harness.getState(), new Map());
  harness.change([register('e-1')]);
  t.deepEqual(find(), { kind: 'known', leavingAt: null, dataCentreOutAt: null });
  harness.clock.advance(100);
  harness.post({
    to: 'membership',
    kind: 'data-centres-changed',
    changes: [{ kind: 'data-centre-out', dataCentre: 'dc-a' }],
    scope: 'changed',
  });
  t.deepEqual(find(), { kind: 'known', leavingAt: null, dataCentreOutAt: 1_100 });
  harness.clock.advance(100);
  harness.change([register('e-1', { phase: 'leaving' })]);
  t.deepEqual(find(), { kind: 'known', leavingAt: 1_200, dataCentreOutAt: 1_100 });
  harness.clock.advance(100);
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  t.deepEqual(find(), { kind: 'known', leavingAt: 1_200, dataCentreOutAt: 1_100 });
});

// Guards against a request to a leaving endpoint after its notice because the removal was confirmed late.
test('the notice of a holder counts from the first read of its removal', (t) => {
  const harness = createHarness();
  harness.change([register('e-1')]);
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }], 'changed', UNCERTAIN);
  harness.clock.advance(2_000);
  harness.post({ to: 'membership', kind: 'removal-due', id: 'e-1', removedAt: 1_000 });
  t.like(findHolder(buildEndpoint('e-1'), harness.getState(), new Map()), { leavingAt: 1_000 });
});

// Guards against a generation that resumes too late at a holder which said in an answer that it leaves,
// while the store still lists it as ready or as removed later (DRAIN, issue 42).
test('the notice of a holder counts from its own word', (t) => {
  const harness = createHarness();
  const holder = buildEndpoint('e-1');
  const incarnations: StatedIncarnations = new Map();
  const stated = { ...NO_STATEMENTS, leavingAt: 1_000 };
  recordIncarnation(incarnations, { endpoint: holder, stated, malformed: [] });
  const find = () => findHolder(holder, harness.getState(), incarnations);
  harness.change([register('e-1')]);
  t.like(find(), { kind: 'known', leavingAt: 1_000 });
  harness.clock.advance(500);
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  t.like(find(), { kind: 'known', leavingAt: 1_000 });
  harness.change([register('e-1', { startedAt: 2 })]);
  t.deepEqual(find(), { kind: 'lost' });
});

// Guards against a generation that resumes at a new incarnation of its holder, which has lost it.
test('a new incarnation of an endpoint is not the holder', (t) => {
  const harness = createHarness();
  const find = () => findHolder(buildEndpoint('e-1'), harness.getState(), new Map());
  t.deepEqual(find(), { kind: 'lost' });
  harness.change([register('e-1')]);
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  harness.change([register('e-1', { startedAt: 2 })]);
  t.deepEqual(find(), { kind: 'lost' });
  harness.change([{ kind: 'endpoint-removed', id: 'e-1' }]);
  t.deepEqual(find(), { kind: 'lost' });
});

// Guards against memory that grows with every endpoint that ever left.
test('the removed endpoints that are remembered are limited', (t) => {
  const harness = createHarness();
  for (let index = 0; index <= MAX_DEPARTED_ENDPOINTS; index += 1) {
    const id = `e-${index.toString()}`;
    harness.change([register(id), { kind: 'endpoint-removed', id }]);
  }
  t.is(harness.getState().departed.size, MAX_DEPARTED_ENDPOINTS);
  t.deepEqual(findHolder(buildEndpoint('e-0'), harness.getState(), new Map()), { kind: 'lost' });
});
