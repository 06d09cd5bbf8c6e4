import { DRAIN_CHECK_MS } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import { toResumeRefusal } from '../../decisions/streams/verdicts.js';
import type { EntryEffect, FrontendEvent } from '../events.js';
import type { CallerRequest } from '../types.js';

/** Phase of the drain; `since` is the instant at which the phase began. */
export type GateState =
  | { readonly phase: 'accepting' }
  | { readonly phase: 'draining'; readonly since: Millis }
  | { readonly phase: 'handing-over'; readonly since: Millis }
  | { readonly phase: 'ended' };

/** Dependencies of the decisions on admission and drain. */
export interface GateInputs {
  readonly now: () => Millis;
  /** Start of the drain; null before. It outlives the state of the child. */
  readonly drain: { startedAt: Millis | null };
  /** Time in which open requests can finish before streams are handed over. */
  readonly drainMs: Millis;
  /** Time after the hand-over in which calls can finish, since they cannot be handed over. */
  readonly handOverGraceMs: Millis;
  readonly countOpen: () => number;
}

type GateStep = Step<GateState, EntryEffect>;

const NEXT_CHECK: EntryEffect = {
  kind: 'schedule',
  delayMs: DRAIN_CHECK_MS,
  event: { to: 'frontend', kind: 'drain-checked', reads: 'due' },
};

/**
 * A process that had no processor for a while runs its timers before it reads. Answers that have arrived
 * are read before the open requests are ended.
 */
const CHECK_AFTER_READS: EntryEffect = {
  kind: 'post-after-reads',
  event: { to: 'frontend', kind: 'drain-checked', reads: 'done' },
};

const handleArrival = (state: GateState, request: CallerRequest): EntryEffect => {
  if (state.phase === 'accepting') {
    return { kind: 'post', event: { to: 'requests', kind: 'request-received', request } };
  }
  const refusal = createFailure('not-run', 'draining', 'the entry daemon is draining', 1);
  const failure = request.kind === 'resume' ? toResumeRefusal(refusal) : refusal;
  return { kind: 'fail-request', requestId: request.requestId, failure };
};

const startDrain = (state: GateState, reason: string, inputs: GateInputs): GateStep => {
  if (state.phase !== 'accepting') return toStep(state);
  const since = inputs.now();
  inputs.drain.startedAt = since;
  return toStep<GateState, EntryEffect>(
    { phase: 'draining', since },
    { kind: 'log', name: 'daemon-stopping', details: { data: { reason } } },
    NEXT_CHECK,
  );
};

const finishDrain = (left: number): GateStep =>
  toStep<GateState, EntryEffect>({ phase: 'ended' }, { kind: 'end-process', left });

const checkDrain = (state: GateState, reads: 'due' | 'done', inputs: GateInputs): GateStep => {
  const now = inputs.now();
  const open = inputs.countOpen();
  switch (state.phase) {
    case 'accepting':
    case 'ended':
      return toStep(state);
    case 'draining':
      if (open === 0) return finishDrain(0);
      if (now - state.since < inputs.drainMs) return toStep(state, NEXT_CHECK);
      if (reads === 'due') return toStep(state, CHECK_AFTER_READS);
      return toStep<GateState, EntryEffect>(
        { phase: 'handing-over', since: now },
        { kind: 'post', event: { to: 'requests', kind: 'drain-ended' } },
        NEXT_CHECK,
      );
    case 'handing-over':
      if (open > 0 && now - state.since < inputs.handOverGraceMs) return toStep(state, NEXT_CHECK);
      if (open > 0 && reads === 'due') return toStep(state, CHECK_AFTER_READS);
      return finishDrain(open);
    default:
      return assertNever(state);
  }
};

/**
 * Creates the decision logic of the `frontend` child, which admits new requests and performs the
 * drain.
 *
 * @param inputs - clock, time limits and the count of open requests
 * @returns the child's logic
 */
export const createGateLogic = (
  inputs: GateInputs,
): ChildLogic<GateState, FrontendEvent, EntryEffect> => ({
  init: () => {
    const since = inputs.drain.startedAt;
    return since === null
      ? toStep<GateState, EntryEffect>({ phase: 'accepting' })
      : toStep<GateState, EntryEffect>({ phase: 'draining', since }, NEXT_CHECK);
  },
  decide: (state, event) => {
    switch (event.kind) {
      case 'request-arrived':
        return toStep(state, handleArrival(state, event.request));
      case 'drain-started':
        return startDrain(state, event.reason, inputs);
      case 'drain-checked':
        return checkDrain(state, event.reads, inputs);
      default:
        return assertNever(event);
    }
  },
});
