import { BOUNCE_PAUSE_MS, MIN_ATTEMPT_MS } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import { isBounce } from './outcomes.js';
import type { RequestState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Failure } from '../../core/verdict.js';
import { computeClassLimit } from '../../decisions/placement/classBounds.js';
import { decideRetry, recordSuccess } from '../../decisions/retries/retry.js';
import { mergeVerdicts } from '../../decisions/streams/verdicts.js';
import type { EntryEffect } from '../events.js';

/** Whether a request whose attempt failed is tried again. */
export type NextAttempt =
  | {
      readonly kind: 'again';
      readonly changes: Pick<
        RequestState,
        'excluded' | 'bounces' | 'waiting' | 'lastFailureText' | 'verdict'
      >;
      readonly effects: readonly EntryEffect[];
    }
  | { readonly kind: 'give-up'; readonly failure: Failure };

const buildAgain = (
  state: RequestState,
  failure: Failure,
  bounces: number,
  delayMs: Millis,
): NextAttempt => {
  const { requestId } = state.request;
  const excluded =
    state.place === null ? state.excluded : new Set([...state.excluded, state.place.endpoint]);
  return {
    kind: 'again',
    changes: {
      excluded,
      bounces,
      waiting: 'for-retry',
      lastFailureText: failure.message,
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

/** Keeps other requests away from an endpoint without room until it reports its load again. */
const recordRefusal = (state: RequestState, failure: Failure, inputs: RequestsInputs): void => {
  const { place, policy } = state;
  if (place === null || failure.code !== 'overloaded') return;
  const report = inputs.findReport(place.endpoint);
  if (report === undefined) return;
  const count = computeClassLimit(report.load.limit, policy);
  inputs.own.recordRefusal(place.endpoint, count, inputs.now());
};

/**
 * Decides whether a request is tried again after a failed attempt with nothing shown.
 *
 * @param state - request
 * @param failure - how the attempt ended
 * @param inputs - clock and retry budgets
 * @returns another attempt, or the failure for the caller
 */
export const decideNextAttempt = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): NextAttempt => {
  const now = inputs.now();
  if (isBounce(failure) && now < state.deadlineAt) {
    recordRefusal(state, failure, inputs);
    const bounces = state.bounces + 1;
    return buildAgain(state, failure, bounces, bounces > 1 ? BOUNCE_PAUSE_MS : 0);
  }
  const { customer } = state.request;
  const { className, repeat } = state.policy;
  const outcome = decideRetry(
    inputs.budgets.get(customer, className, now),
    {
      attempts: state.attempts,
      repeat: repeat === 'allowed' ? 'idempotent' : 'never',
      shown: 'nothing',
      deadline: state.deadlineAt,
      minimumMs: MIN_ATTEMPT_MS,
    },
    failure,
    now,
    inputs.random,
  );
  inputs.budgets.update(customer, className, outcome.budget);
  return outcome.decision.kind === 'retry'
    ? buildAgain(state, failure, state.bounces, outcome.decision.delayMs)
    : { kind: 'give-up', failure };
};

/**
 * Adds a success to the retry budget of the request's customer and class.
 *
 * @param state - request that ended well
 * @param inputs - clock and retry budgets
 */
export const addSuccess = (state: RequestState, inputs: RequestsInputs): void => {
  const now = inputs.now();
  const { customer } = state.request;
  const { className } = state.policy;
  const budget = inputs.budgets.get(customer, className, now);
  inputs.budgets.update(customer, className, recordSuccess(budget, now));
};
