import test from 'ava';
import { createGateLogic } from './gate.js';
import { decideLease, initLease } from '../../decisions/membership/lease.js';
import type { LeaseEvent } from '../../decisions/membership/leaseTypes.js';
import { MESSAGE_FORMAT } from '../../wire/constants.js';
import type { EndpointEffect, GenerateCall, RpcEvent, ServiceCall } from '../types.js';

/** Shorter than the pause that the lease tolerates, so that only the deadline refuses. */
const DEADLINE_AT = 100;
const LEASE_EVENTS: readonly LeaseEvent[] = [
  { kind: 'heartbeat-sent', sequence: 1, targets: ['a'], now: 0 },
  { kind: 'heartbeat-acknowledged', sequence: 1, from: 'a', now: 0 },
];
const LEASE = LEASE_EVENTS.reduce(
  (state, event) => decideLease(state, event).state,
  initLease('i'),
);
const CALL = {
  callId: 'c',
  format: MESSAGE_FORMAT,
  incarnation: 'i',
  deadlineAt: DEADLINE_AT,
} as unknown as ServiceCall;
const START = { ...CALL, mode: 'start' } as unknown as GenerateCall;

const decideAt = (now: number, event: RpcEvent): EndpointEffect | undefined => {
  const logic = createGateLogic({
    now: () => now,
    drain: { startedAt: null },
    drainMs: 0,
    getLease: () => LEASE,
    countOpenWork: () => 0,
  });
  return logic.decide(logic.init().state, event).effects[0];
};

// Guards against work that waited in the event queue and is started past its deadline, when its
// entry daemon has given it up.
test('work whose deadline passed while it waited is refused as not-run', (t) => {
  const late = { failure: { verdict: 'not-run', code: 'deadline-exceeded' } };
  const events: readonly RpcEvent[] = [
    { to: 'rpc', kind: 'call-requested', call: CALL },
    { to: 'rpc', kind: 'generate-requested', call: START },
  ];
  for (const event of events) {
    t.is(decideAt(DEADLINE_AT - 1, event)?.kind, 'post');
    t.like(decideAt(DEADLINE_AT, event), late);
  }
});

// Guards against a running generation that its reader cannot resume past the deadline, which bounds
// the start only.
test('a resume is accepted past the deadline', (t) => {
  const call: GenerateCall = { ...START, mode: 'resume' };
  t.is(decideAt(2 * DEADLINE_AT, { to: 'rpc', kind: 'generate-requested', call })?.kind, 'post');
});
