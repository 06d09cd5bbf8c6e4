import { LEASE_MS, PAUSE_LIMIT_MS, SENT_HEARTBEATS_KEPT, SETTLE_MS } from './constants.js';
import type { LeaseEffect, LeaseEvent, LeaseState, LeaseStatus } from './leaseTypes.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { Incarnation } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

type LeaseStep = Step<LeaseState, LeaseEffect>;

/**
 * Creates the lease of an endpoint daemon that has just started.
 *
 * @param incarnation - start identity of the daemon
 * @returns a state that accepts no work before an entry daemon acknowledged a heartbeat
 */
export const initLease = (incarnation: Incarnation): LeaseState => ({
  incarnation,
  sent: [],
  until: 0,
  lease: 'lapsed',
  settlesSince: 0,
  targets: [],
  heard: [],
  seenAt: 0,
  stay: 'staying',
  dataCentre: 'in',
  configurationOffset: -1,
});

const isPaused = (state: LeaseState, now: Millis): boolean => now - state.seenAt > PAUSE_LIMIT_MS;

const resolveStatus = (state: LeaseState, now: Millis): LeaseStatus => {
  if (now >= state.until) return 'lapsed';
  if (state.lease !== 'settling') return state.lease;
  const isComplete = state.targets.every((target) => state.heard.includes(target));
  return isComplete || now - state.settlesSince >= SETTLE_MS ? 'held' : 'settling';
};

const updateLease = (state: LeaseState, now: Millis): LeaseStep => {
  const lease = resolveStatus(state, now);
  if (lease === state.lease) return toStep(state);
  const heard = lease === 'lapsed' ? [] : state.heard;
  return toStep<LeaseState, LeaseEffect>(
    { ...state, lease, heard },
    { kind: 'lease-changed', lease },
  );
};

/** A pause ends the lease, and answers to heartbeats from before it no longer renew it. */
const observeTime = (state: LeaseState, now: Millis): LeaseStep => {
  const current = isPaused(state, now) ? { ...state, sent: [], until: now } : state;
  return updateLease({ ...current, seenAt: now }, now);
};

/** The lease counts from the sending, since the answer may have waited anywhere. */
const handleAcknowledgement = (
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly kind: 'heartbeat-acknowledged' }>,
): LeaseStep => {
  const sentAt = state.sent.find((sent) => sent.sequence === event.sequence)?.at;
  if (sentAt === undefined || sentAt + LEASE_MS <= event.now) return toStep(state);
  const until = Math.max(state.until, sentAt + LEASE_MS);
  if (state.lease === 'held') return toStep({ ...state, until });
  const settlesSince = state.lease === 'lapsed' ? event.now : state.settlesSince;
  const heard = state.heard.includes(event.from) ? state.heard : [...state.heard, event.from];
  const settling = { ...state, until, settlesSince, heard, lease: 'settling' } as const;
  return updateLease(settling, event.now);
};

const updateDataCentre = (
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly kind: 'configuration' }>,
): LeaseStep => {
  if (event.offset <= state.configurationOffset) return toStep(state);
  const { dataCentre, offset } = event;
  const next = { ...state, dataCentre, configurationOffset: offset };
  if (dataCentre === state.dataCentre) return toStep(next);
  const ramp: readonly LeaseEffect[] = dataCentre === 'in' ? [{ kind: 'restart-ramp' }] : [];
  return toStep<LeaseState, LeaseEffect>(
    next,
    { kind: 'data-centre-changed', dataCentre },
    ...ramp,
  );
};

const startLeaving = (state: LeaseState): LeaseStep =>
  state.stay === 'leaving'
    ? toStep(state)
    : toStep<LeaseState, LeaseEffect>({ ...state, stay: 'leaving' }, { kind: 'start-drain' });

type TimedEvent = Extract<LeaseEvent, { readonly now: Millis }>;

const decideInTime = (state: LeaseState, event: TimedEvent): LeaseStep => {
  switch (event.kind) {
    case 'heartbeat-sent': {
      const sent = [...state.sent, { sequence: event.sequence, at: event.now }];
      return toStep({ ...state, targets: event.targets, sent: sent.slice(-SENT_HEARTBEATS_KEPT) });
    }
    case 'heartbeat-acknowledged':
      return handleAcknowledgement(state, event);
    case 'tick':
      return toStep(state);
    default:
      return assertNever(event);
  }
};

const decideAtOnce = (state: LeaseState, event: Exclude<LeaseEvent, TimedEvent>): LeaseStep => {
  switch (event.kind) {
    case 'configuration':
      return updateDataCentre(state, event);
    case 'leave':
      return startLeaving(state);
    default:
      return assertNever(event);
  }
};

/**
 * Decides one event of an endpoint daemon's lease.
 *
 * @param state - lease before the event
 * @param event - heartbeat, configuration, leave or tick
 * @returns the next state and the changes to announce
 */
export const decideLease = (state: LeaseState, event: LeaseEvent): LeaseStep => {
  if (!('now' in event)) return decideAtOnce(state, event);
  const observed = observeTime(state, event.now);
  const step = decideInTime(observed.state, event);
  return toStep(step.state, ...observed.effects, ...step.effects);
};

/**
 * Checks whether an endpoint daemon may accept new work at this instant by its own clock.
 *
 * @param state - lease of the daemon
 * @param incarnation - incarnation that the entry daemon addressed
 * @param now - current instant, read when the work is handled and not when it arrived
 * @returns the failure `not-run` to answer with, or null when the work may start
 */
export const checkNewWork = (
  state: LeaseState,
  incarnation: Incarnation,
  now: Millis,
): Failure | null => {
  if (incarnation !== state.incarnation) {
    const text = `the endpoint restarted as ${state.incarnation}`;
    return createFailure('not-run', 'stale-incarnation', text);
  }
  if (state.stay === 'leaving') {
    return createFailure('not-run', 'draining', 'the endpoint is leaving');
  }
  if (state.dataCentre === 'out') {
    return createFailure('not-run', 'data-centre-out', 'the data centre was taken out');
  }
  const isHeld = !isPaused(state, now) && resolveStatus(state, now) === 'held';
  if (isHeld) return null;
  const text = 'the lease of the endpoint daemon has lapsed or is being renewed';
  return createFailure('not-run', 'endpoint-lost', text);
};
