import { LEASE_MS, MAX_SENT_HEARTBEATS, MAX_SETTLING_MS, PAUSE_THRESHOLD_MS } from './constants.js';
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
 * @returns a lapsed lease, which heartbeat acknowledgements renew
 */
export const initLease = (incarnation: Incarnation): LeaseState => ({
  incarnation,
  sent: [],
  expiresAt: 0,
  status: 'lapsed',
  settlingSince: 0,
  targets: [],
  acknowledgedBy: [],
  lastEventAt: 0,
  presence: 'staying',
  dataCentre: 'in',
  configurationOffset: -1,
});

const isPaused = (state: LeaseState, now: Millis): boolean =>
  now - state.lastEventAt > PAUSE_THRESHOLD_MS;

const resolveStatus = (state: LeaseState, now: Millis): LeaseStatus => {
  if (now >= state.expiresAt) return 'lapsed';
  if (state.status !== 'settling') return state.status;
  const isComplete = state.targets.every((target) => state.acknowledgedBy.includes(target));
  return isComplete || now - state.settlingSince >= MAX_SETTLING_MS ? 'held' : 'settling';
};

const updateLease = (state: LeaseState, now: Millis): LeaseStep => {
  const lease = resolveStatus(state, now);
  if (lease === state.status) return toStep(state);
  const acknowledgedBy = lease === 'lapsed' ? [] : state.acknowledgedBy;
  return toStep<LeaseState, LeaseEffect>(
    { ...state, status: lease, acknowledgedBy },
    { kind: 'lease-changed', lease },
  );
};

/**
 * Applies the time since the last event. A pause of the process ends the lease, and
 * acknowledgements of heartbeats that were sent before the pause no longer renew it.
 */
const applyElapsedTime = (state: LeaseState, now: Millis): LeaseStep => {
  const current = isPaused(state, now) ? { ...state, sent: [], expiresAt: now } : state;
  return updateLease({ ...current, lastEventAt: now }, now);
};

/** Renews the lease from the instant of sending, since the acknowledgement may be delayed. */
const handleAcknowledgement = (
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly kind: 'heartbeat-acknowledged' }>,
): LeaseStep => {
  const sentAt = state.sent.find((sent) => sent.sequence === event.sequence)?.at;
  if (sentAt === undefined || sentAt + LEASE_MS <= event.now) return toStep(state);
  const expiresAt = Math.max(state.expiresAt, sentAt + LEASE_MS);
  if (state.status === 'held') return toStep({ ...state, expiresAt });
  const settlingSince = state.status === 'lapsed' ? event.now : state.settlingSince;
  const acknowledgedBy = state.acknowledgedBy.includes(event.from)
    ? state.acknowledgedBy
    : [...state.acknowledgedBy, event.from];
  const settling = {
    ...state,
    expiresAt,
    settlingSince,
    acknowledgedBy,
    status: 'settling',
  } as const;
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
  state.presence === 'leaving'
    ? toStep(state)
    : toStep<LeaseState, LeaseEffect>({ ...state, presence: 'leaving' }, { kind: 'start-drain' });

type TimedEvent = Extract<LeaseEvent, { readonly now: Millis }>;

const handleTimedEvent = (state: LeaseState, event: TimedEvent): LeaseStep => {
  switch (event.kind) {
    case 'heartbeat-sent': {
      const sent = [...state.sent, { sequence: event.sequence, at: event.now }];
      return toStep({ ...state, targets: event.targets, sent: sent.slice(-MAX_SENT_HEARTBEATS) });
    }
    case 'heartbeat-acknowledged':
      return handleAcknowledgement(state, event);
    case 'tick':
      return toStep(state);
    default:
      return assertNever(event);
  }
};

const handleUntimedEvent = (
  state: LeaseState,
  event: Exclude<LeaseEvent, TimedEvent>,
): LeaseStep => {
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
 * @param event - heartbeat, acknowledgement, configuration, leave or tick
 * @returns the next state and the changes to act on
 */
export const decideLease = (state: LeaseState, event: LeaseEvent): LeaseStep => {
  if (!('now' in event)) return handleUntimedEvent(state, event);
  const observed = applyElapsedTime(state, event.now);
  const step = handleTimedEvent(observed.state, event);
  return toStep(step.state, ...observed.effects, ...step.effects);
};

/**
 * Checks whether an endpoint daemon may accept new work.
 *
 * @param state - lease of the daemon
 * @param incarnation - incarnation that the entry daemon addressed
 * @param now - current instant by the daemon's clock, read when the work is handled and not when it
 *   arrived
 * @returns a failure with the verdict `not-run`, or null when the work may start
 */
export const checkNewWork = (
  state: LeaseState,
  incarnation: Incarnation,
  now: Millis,
): Failure | null => {
  if (incarnation !== state.incarnation) {
    const message = `the endpoint restarted as incarnation ${state.incarnation}`;
    return createFailure('not-run', 'stale-incarnation', message);
  }
  if (state.presence === 'leaving') {
    return createFailure('not-run', 'draining', 'the endpoint is leaving');
  }
  if (state.dataCentre === 'out') {
    return createFailure('not-run', 'data-centre-out', 'the data centre was taken out');
  }
  const isHeld = !isPaused(state, now) && resolveStatus(state, now) === 'held';
  if (isHeld) return null;
  const message = 'the lease of the endpoint daemon has lapsed or is being renewed';
  return createFailure('not-run', 'endpoint-lost', message);
};
