import { MIN_ATTEMPT_MS, REFUSAL_BACKOFF_MS } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import { isEndpointRefusal } from './outcomes.js';
import type { RequestState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Failure } from '../../core/verdict.js';
import { computeClassLimit } from '../../decisions/placement/classBounds.js';
import type { SendPurpose } from '../../decisions/retries/types.js';
import { mergeVerdicts } from '../../decisions/streams/verdicts.js';
import type { EntryEffect } from '../events.js';

/** Whether a request is tried again after a failed attempt. */
export type NextAttempt =
  | {
      readonly kind: 'retry';
      readonly changes: Pick<
        RequestState,
        'excluded' | 'refusals' | 'waiting' | 'purpose' | 'lastFailureReason' | 'verdict'
      >;
      readonly effects: readonly EntryEffect[];
    }
  | { readonly kind: 'give-up'; readonly failure: Failure };

const buildRetry = (
  state: RequestState,
  purpose: Exclude<SendPurpose, { readonly kind: 'first' }>,
  refusals: number,
  delayMs: Millis,
): NextAttempt => {
  const { failure } = purpose;
  const { requestId } = state.request;
  const excluded =
    state.placement === null
      ? state.excluded
      : new Set([...state.excluded, state.placement.endpoint]);
  return {
    kind: 'retry',
    changes: {
      excluded,
      refusals,
      waiting: 'for-retry',
      purpose,
      lastFailureReason: failure.message,
      verdict: mergeVerdicts(state.verdict, failure.verdict),
    },
    effects: [
      { kind: 'schedule', delayMs, event: { to: 'requests', kind: 'retry-due', requestId } },
      {
        kind: 'log',
        name: 'request-retried',
        details: {
          requestId,
          data: { code: failure.code, verdict: failure.verdict, delayMs: Math.round(delayMs) },
        },
      },
    ],
  };
};

/** Keeps other requests away from an endpoint without capacity until its next load report. */
const recordRefusal = (state: RequestState, failure: Failure, inputs: RequestsInputs): void => {
  const { placement, policy } = state;
  if (placement === null || failure.code !== 'overloaded') return;
  const heartbeat = inputs.findHeartbeat(placement.endpoint);
  if (heartbeat === undefined) return;
  const count = computeClassLimit(heartbeat.load.limit, policy);
  inputs.placements.recordRefusal(placement.endpoint, count, inputs.now());
};

/**
 * Decides whether a request is tried again after a failed attempt that delivered nothing to the
 * caller.
 *
 * @param state - request
 * @param failure - how the attempt ended
 * @param inputs - clock and owner of the sends
 * @returns a retry, or the failure for the caller
 */
export const decideNextAttempt = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): NextAttempt => {
  const now = inputs.now();
  if (isEndpointRefusal(failure) && now < state.deadlineAt) {
    recordRefusal(state, failure, inputs);
    const refusals = state.refusals + 1;
    const delayMs = refusals > 1 ? REFUSAL_BACKOFF_MS : 0;
    return buildRetry(state, { kind: 'after-refusal', failure }, refusals, delayMs);
  }
  const { customer } = state.request;
  const { className, repeat } = state.policy;
  const decision = inputs.sends.decideRetry(
    { customer, className },
    {
      // A refused attempt ran nowhere; the endpoint daemons may refuse a waiting request many times.
      attempts: state.attempts - state.refusals,
      repeat: repeat === 'allowed' ? 'idempotent' : 'never',
      delivered: 'nothing',
      deadline: state.deadlineAt,
      minAttemptMs: MIN_ATTEMPT_MS,
    },
    failure,
    now,
    inputs.random,
  );
  return decision.kind === 'retry'
    ? buildRetry(state, { kind: 'after-failure', failure }, state.refusals, decision.delayMs)
    : { kind: 'give-up', failure };
};

/**
 * Records a success in the retry budget of the request's customer and class.
 *
 * @param state - request that succeeded
 * @param inputs - clock and owner of the sends
 */
export const recordRequestSuccess = (state: RequestState, inputs: RequestsInputs): void => {
  const { customer } = state.request;
  const { className } = state.policy;
  inputs.sends.recordSuccess({ customer, className }, inputs.now());
};
