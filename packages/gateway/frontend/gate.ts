import {
  CLOSE_IDLE_GRACE_MS,
  DRAIN_CHECK_MS,
  EXIT_RESERVE_MS,
  FINAL_ANSWER_GRACE_MS,
  GRACE_MARGIN_MS,
  MAX_LATE_READS,
  MAX_LATE_READS_MS,
  MIN_DRAIN_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { GatewayEffect } from '../effects.js';
import type { FrontendEvent } from '../events.js';
import type { DrainTimes } from '../requests/types.js';

/** Whether the daemon accepts requests or is draining. */
export type GateState =
  | { readonly phase: 'accepting' }
  | { readonly phase: 'draining'; readonly drainedAt: Millis }
  /** Requests that are left have been answered, and every further one is refused. */
  | {
      readonly phase: 'ending';
      readonly drainedAt: Millis;
      readonly endedAt: Millis;
      /** Times that a late daemon has read on while answers were due. */
      readonly lateReads: number;
    }
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

const CHECK_DUE = { to: 'frontend', kind: 'drain-checked', reads: 'due' } as const;

/**
 * A step of the end waits until all that has arrived has been read. A process that had no processor for a
 * while runs its timers first, and would end all steps at once with requests and answers unread.
 */
const CHECK_AFTER_READS: GatewayEffect = {
  kind: 'post-after-reads',
  event: { ...CHECK_DUE, reads: 'done' },
};

/** A check that is overdue is not left to a timer, which a busy daemon runs late. */
const checkAfter = (delayMs: Millis): GatewayEffect =>
  delayMs <= 0 ? CHECK_AFTER_READS : { kind: 'schedule', delayMs, event: CHECK_DUE };

const FIRST_DRAIN_CHECK = checkAfter(DRAIN_CHECK_MS);

/** Instant at which the requests that are left are answered. */
const computeOverdueAt = (drainedAt: Millis, graceMs: Millis): Millis =>
  drainedAt + graceMs - GRACE_MARGIN_MS;

/** Returns the end of a step, which the steps before it do not delay beyond the end of the daemon. */
const computeStepEnd = (
  startedAt: Millis,
  durationMs: Millis,
  { drainedAt }: { readonly drainedAt: Millis },
  graceMs: Millis,
): Millis => Math.min(startedAt + durationMs, drainedAt + graceMs - EXIT_RESERVE_MS);

const checkDrain = (
  state: GateState,
  reads: 'due' | 'done',
  inputs: GateInputs,
): Step<GateState, GatewayEffect> => {
  const now = inputs.clock.now();
  const left = inputs.countOpen();
  const graceMs = inputs.getGraceMs();
  switch (state.phase) {
    case 'accepting':
      return toStep<GateState, GatewayEffect>(state);
    case 'draining': {
      const { drainedAt } = state;
      const overdueInMs = computeOverdueAt(drainedAt, graceMs) - now;
      const isDrained = left === 0 && now - drainedAt >= MIN_DRAIN_MS;
      if (!isDrained && overdueInMs > 0)
        return toStep(state, checkAfter(Math.min(DRAIN_CHECK_MS, overdueInMs)));
      if (reads === 'due') return toStep(state, CHECK_AFTER_READS);
      const endsAt = computeStepEnd(now, FINAL_ANSWER_GRACE_MS, state, graceMs);
      return toStep<GateState, GatewayEffect>(
        { phase: 'ending', drainedAt, endedAt: now, lateReads: 0 },
        { kind: 'post', event: { to: 'requests', kind: 'drain-ended' } },
        checkAfter(endsAt - now),
      );
    }
    case 'ending': {
      const endsAt = computeStepEnd(state.endedAt, FINAL_ANSWER_GRACE_MS, state, graceMs);
      if (left > 0 && now < endsAt) return toStep(state, checkAfter(endsAt - now));
      if (reads === 'due') return toStep(state, CHECK_AFTER_READS);
      // The next request of a connection is read once the answer before it has been sent.
      const { endedAt, lateReads } = state;
      if (left > 0 && lateReads < MAX_LATE_READS && now - endedAt < MAX_LATE_READS_MS)
        return toStep({ ...state, lateReads: lateReads + 1 }, CHECK_AFTER_READS);
      const closedUntil = computeStepEnd(now, CLOSE_IDLE_GRACE_MS, state, graceMs);
      return toStep<GateState, GatewayEffect>(
        { phase: 'closing', drainedAt: state.drainedAt, closedAt: now },
        { kind: 'close-idle' },
        checkAfter(closedUntil - now),
      );
    }
    case 'closing': {
      const endsAt = computeStepEnd(state.closedAt, CLOSE_IDLE_GRACE_MS, state, graceMs);
      if (now < endsAt) return toStep(state, checkAfter(endsAt - now));
      return toStep<GateState, GatewayEffect>(
        state,
        reads === 'due' ? CHECK_AFTER_READS : { kind: 'end-process', left },
      );
    }
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
      : toStep<GateState, GatewayEffect>({ phase: 'draining', drainedAt }, FIRST_DRAIN_CHECK);
  },
  decide: (state, event) => {
    switch (event.kind) {
      case 'caller-arrived':
        return toStep<GateState, GatewayEffect>(state, {
          kind: 'post',
          event: {
            to: 'requests',
            kind: 'request-arrived',
            request: event.request,
            body: event.body,
          },
        });
      case 'drain-started': {
        if (state.phase !== 'accepting') return toStep<GateState, GatewayEffect>(state);
        const data = { open: inputs.countOpen(), graceMs: inputs.getGraceMs() };
        return toStep<GateState, GatewayEffect>(
          { phase: 'draining', drainedAt: inputs.getStopOrderedAt() ?? inputs.clock.now() },
          { kind: 'log', name: 'daemon-stopping', details: { data } },
          FIRST_DRAIN_CHECK,
        );
      }
      case 'drain-checked':
        return checkDrain(state, event.reads, inputs);
      default:
        return assertNever(event);
    }
  },
});
