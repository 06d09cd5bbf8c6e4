import test from 'ava';
import fc from 'fast-check';
import { DRAIN_CHECK_MS } from './constants.js';
import { createGateLogic } from './gate.js';
import type { GateState } from './gate.js';
import type { Step } from '../../core/step.js';
import { decideLease, initLease } from '../../decisions/membership/lease.js';
import type { LeaseEvent } from '../../decisions/membership/leaseTypes.js';
import { MESSAGE_FORMAT } from '../../wire/constants.js';
import type { EndpointEffect, GenerateCall, RpcEvent } from '../types.js';

const SEED = 909;
const RUNS = 1_500;
const MAX_WORK_MS = 20_000;
const SIMULATION_MS = 40_000;

const LEASE_EVENTS: readonly LeaseEvent[] = [
  { kind: 'heartbeat-sent', sequence: 1, targets: ['a'], now: 0 },
  { kind: 'heartbeat-acknowledged', sequence: 1, from: 'a', now: 0 },
];
const LEASE = LEASE_EVENTS.reduce(
  (state, event) => decideLease(state, event).state,
  initLease('i'),
);

const START = {
  callId: 'c',
  format: MESSAGE_FORMAT,
  mode: 'start',
  incarnation: 'i',
} as unknown as GenerateCall;

interface WorkItem {
  readonly at: number;
  readonly durationMs: number;
}

/** Runs one step of the gate, unchanged or with one of its checks disabled. */
type DecideGate = (
  state: GateState,
  event: RpcEvent,
  decide: (state: GateState, event: RpcEvent) => Step<GateState, EndpointEffect>,
) => Step<GateState, EndpointEffect>;

/** Counts the accepted work items that have not finished when the process ends. */
const countInterrupted = (
  workItems: readonly WorkItem[],
  drainAt: number,
  drainMs: number,
  decideGate: DecideGate,
): number => {
  let now = 0;
  let interrupted = 0;
  const ends: number[] = [];
  const countOpenWork = (): number => ends.filter((end) => end > now).length;
  const drain = { startedAt: null };
  const inputs = { now: () => now, drain, drainMs, getLease: () => LEASE, countOpenWork };
  const logic = createGateLogic(inputs);
  let { state } = logic.init();
  const apply = (event: RpcEvent): readonly EndpointEffect[] => {
    const step = decideGate(state, event, logic.decide);
    state = step.state;
    if (step.effects.some(({ kind }) => kind === 'end-process')) {
      interrupted += countOpenWork();
    }
    return step.effects;
  };
  for (now = 0; now < SIMULATION_MS; now += DRAIN_CHECK_MS) {
    if (now === drainAt) apply({ to: 'rpc', kind: 'drain-started', reason: 'test' });
    const checks = apply({ to: 'rpc', kind: 'drain-checked', reads: 'due' });
    if (checks.some(({ kind }) => kind === 'post-after-reads'))
      apply({ to: 'rpc', kind: 'drain-checked', reads: 'done' });
    for (const item of workItems.filter(({ at }) => at === now)) {
      const effects = apply({ to: 'rpc', kind: 'generate-requested', call: START });
      if (!effects.some(({ kind }) => kind === 'post')) continue;
      ends.push(now + item.durationMs);
      // Work accepted after the process has ended is lost.
      if (state.phase === 'ended') interrupted += 1;
    }
  }
  return interrupted;
};

const anyTime = fc.nat({ max: 19 }).map((tick) => tick * DRAIN_CHECK_MS);

const anyWorkItems = fc.array(
  fc.record({ at: anyTime, durationMs: fc.integer({ min: 1, max: MAX_WORK_MS }) }),
  { maxLength: 20 },
);

const buildProperty = (drainMs: number, decideGate: DecideGate) =>
  fc.property(
    anyWorkItems,
    anyTime,
    (workItems, drainAt) => countInterrupted(workItems, drainAt, drainMs, decideGate) === 0,
  );

const decideUnchanged: DecideGate = (state, event, decide) => decide(state, event);

// Guards against an endpoint daemon that stops before its accepted work has ended, or that accepts
// work while it shuts down (P9). The promise does not cover work that outlasts the drain time.
test('P9: an endpoint daemon that shuts down finishes what it accepted', (t) => {
  const property = buildProperty(MAX_WORK_MS + 1, decideUnchanged);
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

/** Accepts new work in every phase. */
const decideWithoutRefusal: DecideGate = (state, event, decide) => {
  if (event.kind !== 'generate-requested') return decide(state, event);
  return { ...decide({ phase: 'accepting' }, event), state };
};

// Guards against a property that cannot fail: a gate that does not wait for running work, or does
// not refuse new work, must violate it.
test('P9: a gate without the drain wait or without the refusal of new work interrupts work', (t) => {
  for (const property of [
    buildProperty(0, decideUnchanged),
    buildProperty(MAX_WORK_MS + 1, decideWithoutRefusal),
  ]) {
    t.true(fc.check(property, { seed: SEED, numRuns: RUNS }).failed);
  }
});

// Guards against a draining daemon that accepts work again and never ends, because its rpc child was
// restarted meanwhile.
test('a restarted rpc child goes on with the drain', (t) => {
  let now = 0;
  const logic = createGateLogic({
    now: () => now,
    drain: { startedAt: null },
    drainMs: MAX_WORK_MS,
    getLease: () => LEASE,
    countOpenWork: () => 1,
  });
  const first = logic.init();
  t.deepEqual(first, { state: { phase: 'accepting' }, effects: [] });
  logic.decide(first.state, { to: 'rpc', kind: 'drain-started', reason: 'test' });
  const restarted = logic.init();
  t.deepEqual(restarted.state, { phase: 'draining', since: 0 });
  t.deepEqual(
    restarted.effects.map(({ kind }) => kind),
    ['schedule'],
  );
  now = MAX_WORK_MS;
  // What the engine has sent is read first: a process that had no processor runs its timers before.
  const due = logic.decide(restarted.state, { to: 'rpc', kind: 'drain-checked', reads: 'due' });
  t.deepEqual(
    due.effects.map(({ kind }) => kind),
    ['post-after-reads'],
  );
  const read: RpcEvent = { to: 'rpc', kind: 'drain-checked', reads: 'done' };
  t.is(logic.decide(due.state, read).state.phase, 'ended');
});
