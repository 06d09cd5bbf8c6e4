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
const LONGEST_WORK_MS = 20_000;
const END_AT_MS = 40_000;

const HELD: readonly LeaseEvent[] = [
  { kind: 'heartbeat-sent', sequence: 1, targets: ['a'], now: 0 },
  { kind: 'heartbeat-acknowledged', sequence: 1, from: 'a', now: 0 },
];
const LEASE = HELD.reduce((state, event) => decideLease(state, event).state, initLease('i'));

const START = {
  callId: 'c',
  format: MESSAGE_FORMAT,
  mode: 'start',
  incarnation: 'i',
} as unknown as GenerateCall;

interface Work {
  readonly at: number;
  readonly durationMs: number;
}

/** Step of the gate, or a variant of it. */
type DecideGate = (
  state: GateState,
  event: RpcEvent,
  decide: (state: GateState, event: RpcEvent) => Step<GateState, EndpointEffect>,
) => Step<GateState, EndpointEffect>;

/** Counts the accepted pieces of work that are not finished when the process ends. */
const countCutOff = (
  works: readonly Work[],
  leaveAt: number,
  drainMs: number,
  decideGate: DecideGate,
): number => {
  let now = 0;
  let cutOff = 0;
  const ends: number[] = [];
  const countOpenWork = (): number => ends.filter((end) => end > now).length;
  const inputs = { now: () => now, drainMs, getLease: () => LEASE, countOpenWork };
  const logic = createGateLogic(inputs);
  let { state } = logic.init();
  const apply = (event: RpcEvent): readonly EndpointEffect[] => {
    const step = decideGate(state, event, logic.decide);
    state = step.state;
    if (step.effects.some(({ kind }) => kind === 'end-process')) {
      cutOff += countOpenWork();
    }
    return step.effects;
  };
  for (now = 0; now < END_AT_MS; now += DRAIN_CHECK_MS) {
    if (now === leaveAt) apply({ to: 'rpc', kind: 'drain-started', reason: 'test' });
    apply({ to: 'rpc', kind: 'drain-checked' });
    for (const work of works.filter(({ at }) => at === now)) {
      const effects = apply({ to: 'rpc', kind: 'generate-requested', call: START });
      if (!effects.some(({ kind }) => kind === 'post')) continue;
      ends.push(now + work.durationMs);
      // Work that a process accepts on its way out is lost.
      if (state.phase === 'ended') cutOff += 1;
    }
  }
  return cutOff;
};

const anyTime = fc.nat({ max: 19 }).map((tick) => tick * DRAIN_CHECK_MS);

const anyWorks = fc.array(
  fc.record({ at: anyTime, durationMs: fc.integer({ min: 1, max: LONGEST_WORK_MS }) }),
  { maxLength: 20 },
);

const buildProperty = (drainMs: number, decideGate: DecideGate) =>
  fc.property(
    anyWorks,
    anyTime,
    (works, leaveAt) => countCutOff(works, leaveAt, drainMs, decideGate) === 0,
  );

const decideAsIs: DecideGate = (state, event, decide) => decide(state, event);

// Guards against an endpoint daemon that goes before its work has ended, or accepts work on its way
// out (P9). Work that outlasts the drain time is outside of the promise's reach here.
test('P9: an endpoint daemon that shuts down finishes what it accepted', (t) => {
  const property = buildProperty(LONGEST_WORK_MS + 1, decideAsIs);
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

/** Lets work in whatever the phase. */
const decideOpenGate: DecideGate = (state, event, decide) => {
  if (event.kind !== 'generate-requested') return decide(state, event);
  return { ...decide({ phase: 'accepting' }, event), state };
};

// Guards against a test that cannot fail: without the wait, or without the refusal, work is cut.
test('P9: work is cut off without the wait for its end or without the refusal of new work', (t) => {
  for (const property of [
    buildProperty(0, decideAsIs),
    buildProperty(LONGEST_WORK_MS + 1, decideOpenGate),
  ]) {
    t.true(fc.check(property, { seed: SEED, numRuns: RUNS }).failed);
  }
});
