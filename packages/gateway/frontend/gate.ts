import {
  CLOSE_IDLE_GRACE_MS,
  DRAIN_CHECK_MS,
  FINAL_ANSWER_GRACE_MS,
  GRACE_MARGIN_MS,
  MIN_DRAIN_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { FrontendEvent, GatewayEffect } from '../events.js';
import type { DrainTimes } from '../requests/types.js';

/** Whether the daemon accepts requests or is draining. */
export type GateState =
  | { readonly phase: 'accepting' }
  | { readonly phase: 'draining'; readonly drainedAt: Millis }
  /** Requests that are left have been answered, and every further one is refused. */
  | { readonly phase: 'ending'; readonly drainedAt: Millis; readonly endedAt: Millis }
  /** Idle connections have been closed. */
  | { readonly phase: 'closing'; readonly drainedAt: Millis; readonly closedAt: Millis };

export interface GateInputs {
  readonly clock: Clock;
  /** Returns when the daemon was ordered to stop; null before. It outlives the state of the child. */
  readonly getStopOrderedAt: () => Millis | null;
  /** Returns the time from the stop signal until the platform kills the process. */
  readonly getGraceMs: () => Millis;
  /** Counts the requests whose answers have not been sent completely. */
  readonly countOpen: () => number;
}

/**
 * Computes the elapsed and remaining time of the drain.
 *
 * @param state - phase of the daemon
 * @param now - current instant
 * @param graceMs - time from the stop signal until the platform kills the process
 * @returns the times, or null while the daemon is not draining
 */
export const computeDrain = (state: GateState, now: Millis, graceMs: Millis): DrainTimes | null => {
  switch (state.phase) {
    case 'accepting':
      return null;
    case 'draining': {
      const drainedMs = now - state.drainedAt;
      return { drainedMs, leftMs: graceMs - GRACE_MARGIN_MS - drainedMs };
    }
    case 'ending':
    case 'closing':
      return { drainedMs: now - state.drainedAt, leftMs: 0 };
    default:
      return assertNever(state);
  }
};

const NEXT_DRAIN_CHECK: GatewayEffect = {
  kind: 'schedule',
  delayMs: DRAIN_CHECK_MS,
  event: { to: 'frontend', kind: 'drain-checked' },
};

const checkDrain = (state: GateState, inputs: GateInputs): Step<GateState, GatewayEffect> => {
  const now = inputs.clock.now();
  const left = inputs.countOpen();
  switch (state.phase) {
    case 'accepting':
      return toStep<GateState, GatewayEffect>(state);
    case 'draining': {
      const drainedMs = now - state.drainedAt;
      const isDrained = left === 0 && drainedMs >= MIN_DRAIN_MS;
      const isOverdue = drainedMs >= inputs.getGraceMs() - GRACE_MARGIN_MS;
      if (!isDrained && !isOverdue)
        return toStep<GateState, GatewayEffect>(state, NEXT_DRAIN_CHECK);
      return toStep<GateState, GatewayEffect>(
        { phase: 'ending', drainedAt: state.drainedAt, endedAt: now },
        { kind: 'post', event: { to: 'requests', kind: 'drain-ended' } },
        NEXT_DRAIN_CHECK,
      );
    }
    case 'ending':
      if (left > 0 && now - state.endedAt < FINAL_ANSWER_GRACE_MS)
        return toStep<GateState, GatewayEffect>(state, NEXT_DRAIN_CHECK);
      return toStep<GateState, GatewayEffect>(
        { phase: 'closing', drainedAt: state.drainedAt, closedAt: now },
        { kind: 'close-idle' },
        NEXT_DRAIN_CHECK,
      );
    case 'closing':
      return now - state.closedAt < CLOSE_IDLE_GRACE_MS
        ? toStep<GateState, GatewayEffect>(state, NEXT_DRAIN_CHECK)
        : toStep<GateState, GatewayEffect>(state, { kind: 'end-process', left });
    default:
      return assertNever(state);
  }
};

/**
 * Creates the decision logic of the `frontend` child, which accepts requests and drains the daemon.
 * A draining daemon still handles requests that arrive on keep-alive connections.
 *
 * @param inputs - clock, grace period and number of open requests
 * @returns the decision logic
 */
export const createGateLogic = (
  inputs: GateInputs,
): ChildLogic<GateState, FrontendEvent, GatewayEffect> => ({
  init: () => {
    const drainedAt = inputs.getStopOrderedAt();
    return drainedAt === null
      ? toStep<GateState, GatewayEffect>({ phase: 'accepting' })
      : toStep<GateState, GatewayEffect>({ phase: 'draining', drainedAt }, NEXT_DRAIN_CHECK);
  },
  decide: (state, event) => {
    switch (event.kind) {
      case 'caller-arrived':
        return toStep<GateState, GatewayEffect>(state, {
          kind: 'post',
          event: { to: 'requests', kind: 'request-arrived', request: event.request },
        });
      case 'drain-started': {
        if (state.phase !== 'accepting') return toStep<GateState, GatewayEffect>(state);
        const data = { open: inputs.countOpen(), graceMs: inputs.getGraceMs() };
        return toStep<GateState, GatewayEffect>(
          { phase: 'draining', drainedAt: inputs.clock.now() },
          { kind: 'log', name: 'daemon-stopping', details: { data } },
          NEXT_DRAIN_CHECK,
        );
      }
      case 'drain-checked':
        return checkDrain(state, inputs);
      default:
        return assertNever(event);
    }
  },
});
