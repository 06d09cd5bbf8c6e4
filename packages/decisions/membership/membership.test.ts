import test from 'ava';
import fc from 'fast-check';
import { chooseByRendezvous } from './rendezvous.js';
import { checkNewWork, decideLease, initLease } from './lease.js';
import type { LeaseEvent } from './leaseTypes.js';
import { checkEligibility, decideMembership, initMembership } from './membership.js';
import { buildHeartbeat, buildOrderProperty } from './membershipProperty.fixture.js';
import type { MembershipEvent } from './types.js';

const SEED = 99;
const RUNS = 1_000;

const run = (...events: readonly MembershipEvent<null>[]) =>
  events.reduce((state, event) => decideMembership(state, event).state, initMembership<null>());

// Guards against a late heartbeat that makes a draining endpoint or an older incarnation eligible.
test('the newest heartbeat takes effect in any order of arrival', (t) => {
  fc.assert(buildOrderProperty(), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against work for an endpoint that became suspect between two ticks, and against an
// endpoint without heartbeats that never becomes gone.
test('silence makes an endpoint suspect after 1.5 s and gone after 5 s', (t) => {
  const state = run(buildHeartbeat('i1', 1, 'serving', 0));
  t.is(checkEligibility(state, 'e', 1_499), 'eligible');
  t.is(checkEligibility(state, 'e', 1_500), 'suspect');
  const suspect = decideMembership(state, { kind: 'tick', now: 1_500 });
  t.like(suspect.effects[0], { kind: 'phase-changed', from: 'serving', to: 'suspect' });
  const gone = decideMembership(suspect.state, { kind: 'tick', now: 5_000 });
  t.like(gone.effects[0], { kind: 'phase-changed', from: 'suspect', to: 'gone' });
  const back = decideMembership(gone.state, buildHeartbeat('i2', 1, 'ramping', 6_000));
  t.like(back.effects[0], { kind: 'incarnation-replaced', older: 'i1', newer: 'i2' });
  t.is(checkEligibility(back.state, 'e', 6_000), 'eligible');
});

// Guards against heartbeats from before a pause of this process that make an endpoint eligible.
test('after a pause, heartbeats of the backlog leave an endpoint suspect', (t) => {
  const paused = run(buildHeartbeat('i1', 1, 'serving', 0), { kind: 'process-paused', now: 900 });
  t.is(checkEligibility(paused, 'e', 900), 'suspect');
  const backlog = decideMembership(paused, buildHeartbeat('i1', 2, 'serving', 1_000)).state;
  t.is(checkEligibility(backlog, 'e', 1_000), 'suspect');
  const fresh = decideMembership(backlog, buildHeartbeat('i1', 3, 'serving', 1_400)).state;
  t.is(checkEligibility(fresh, 'e', 1_400), 'eligible');
});

// Guards against a lagging list that overrides heartbeats: it must neither make an endpoint
// eligible nor remove one that sends heartbeats.
test('the list adds endpoints and marks leaving ones; heartbeats determine their phase', (t) => {
  const listed = { endpoint: 'e', dataCentre: 'd', state: 'live' } as const;
  const listedOnly = run({ kind: 'instance-list', instances: [listed], now: 0 });
  t.is(checkEligibility(listedOnly, 'e', 0), 'starting');
  const serving = decideMembership(listedOnly, buildHeartbeat('i1', 1, 'serving', 100)).state;
  const list = (
    instances: readonly (typeof listed | { endpoint: 'e'; dataCentre: 'd'; state: 'leaving' })[],
  ) => decideMembership(serving, { kind: 'instance-list', instances, now: 200 }).state;
  t.is(checkEligibility(list([]), 'e', 200), 'eligible');
  t.is(checkEligibility(list([{ ...listed, state: 'leaving' }]), 'e', 200), 'draining');
  const out = { kind: 'configuration', dataCentresOut: ['d'], offset: 5 } as const;
  const older = { kind: 'configuration', dataCentresOut: [], offset: 4 } as const;
  const dataCentreOut = run(buildHeartbeat('i1', 1, 'serving', 0), out, older);
  t.is(checkEligibility(dataCentreOut, 'e', 0), 'data-centre-out');
});

const runLease = (...events: readonly LeaseEvent[]) =>
  events.reduce((state, event) => decideLease(state, event).state, initLease('i1'));

// Guards against an endpoint daemon that accepts work after a pause with an expired lease, and
// against a lease renewed only by an entry daemon without the newest configuration.
test('a lease starts when the heartbeat is sent, ends with a pause and needs all targets', (t) => {
  const targets = ['a', 'b'];
  const first = runLease(
    { kind: 'heartbeat-sent', sequence: 1, targets, now: 0 },
    { kind: 'heartbeat-acknowledged', sequence: 1, from: 'a', now: 100 },
  );
  t.is(checkNewWork(first, 'i1', 100)?.code, 'endpoint-lost');
  const held = decideLease(first, {
    kind: 'heartbeat-acknowledged',
    sequence: 1,
    from: 'b',
    now: 200,
  }).state;
  t.is(checkNewWork(held, 'i1', 200), null);
  t.is(checkNewWork(held, 'i0', 200)?.code, 'stale-incarnation');
  t.is(checkNewWork(held, 'i1', 900)?.verdict, 'not-run');
  const ticks = [400, 800, 1_200, 1_600, 1_999].map((now) => ({ kind: 'tick', now }) as const);
  const ticked = ticks.reduce((state, event) => decideLease(state, event).state, held);
  t.is(checkNewWork(ticked, 'i1', 1_999), null);
  t.is(checkNewWork(ticked, 'i1', 2_000)?.code, 'endpoint-lost');
});

const hashText = (text: string): number =>
  [...text].reduce((sum, char) => Math.imul(sum ^ char.charCodeAt(0), 0x0100_0193) >>> 0, 7);

// Guards against a removed entry instance that changes the heartbeat targets of all endpoints.
test('a removed entry instance changes only the choices that included it', (t) => {
  const names = fc.uniqueArray(fc.uuid(), { minLength: 4, maxLength: 30 });
  const property = fc.property(names, fc.uuid(), (instances, endpoint) => {
    const before = chooseByRendezvous(endpoint, instances, 3, hashText);
    const [removed, ...rest] = instances;
    const after = chooseByRendezvous(endpoint, rest.reverse(), 3, hashText);
    const remaining = before.filter((instance) => instance !== removed);
    return after.length === 3 && remaining.every((instance) => after.includes(instance));
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
