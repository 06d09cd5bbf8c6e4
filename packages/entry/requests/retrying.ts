import { BOUNCE_PAUSE_MS, MAX_ATTEMPTS } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import { isBounce } from './outcomes.js';
import type { RequestState } from './types.js';
import type { Failure } from '../../core/verdict.js';
import type { EntryEffect } from '../events.js';

/** Whether a request whose attempt failed is tried again. */
export type NextAttempt =
  | {
      readonly kind: 'again';
      readonly changes: Pick<RequestState, 'excluded' | 'bounces' | 'waiting' | 'lastFailureText'>;
      readonly effects: readonly EntryEffect[];
    }
  | { readonly kind: 'give-up'; readonly failure: Failure };

const isRepeatable = (state: RequestState, failure: Failure): boolean =>
  failure.verdict === 'not-run' || state.policy.repeat === 'allowed';

/** Failures that another endpoint would only repeat. */
const isFinal = (failure: Failure): boolean =>
  failure.code === 'bad-request' || failure.code === 'too-large' || failure.code === 'cancelled';

const buildAgain = (
  state: RequestState,
  failure: Failure,
  bounces: number,
  delayMs: number,
): NextAttempt => {
  const { requestId } = state.request;
  const excluded =
    state.place === null ? state.excluded : new Set([...state.excluded, state.place.endpoint]);
  return {
    kind: 'again',
    changes: { excluded, bounces, waiting: 'for-retry', lastFailureText: failure.message },
    effects: [
      { kind: 'schedule', delayMs, event: { to: 'requests', kind: 'retry-due', requestId } },
      {
        kind: 'log',
        name: 'request-retried',
        details: { requestId, data: { code: failure.code, verdict: failure.verdict } },
      },
    ],
  };
};

/**
 * Decides whether a request is tried again after a failed attempt with nothing shown.
 *
 * @param state - request
 * @param failure - how the attempt ended
 * @param inputs - clock
 * @returns another attempt, or the failure for the caller
 */
export const decideNextAttempt = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): NextAttempt => {
  if (isFinal(failure) || inputs.now() >= state.deadlineAt) return { kind: 'give-up', failure };
  if (isBounce(failure)) {
    const bounces = state.bounces + 1;
    return buildAgain(state, failure, bounces, bounces > 1 ? BOUNCE_PAUSE_MS : 0);
  }
  if (!isRepeatable(state, failure) || state.attempts >= MAX_ATTEMPTS) {
    return { kind: 'give-up', failure };
  }
  return buildAgain(state, failure, state.bounces, 0);
};
