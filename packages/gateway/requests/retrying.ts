import { removeAttempt } from './answerMemory.js';
import { describeEnd, isProvablyNotRun } from './attemptEnds.js';
import type { AttemptEnd } from './attemptEnds.js';
import { openAttempt, planFurtherAttempt } from './attempts.js';
import { checkRequestContent } from './content.js';
import { failRequest } from './outcomes.js';
import { cancelRuns, continueAfterStops, stopRun } from './runStops.js';
import { decideFurtherSend } from './sendDecisions.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import type { GatewayEffect } from '../effects.js';

/**
 * Ends an attempt without a usable answer, and starts another attempt or fails the request.
 *
 * @param forwarding - request
 * @param attempt - attempt that ended
 * @param end - how it ended
 * @param context - state and inputs
 * @returns effects
 */
export const endAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  removeAttempt(forwarding, attempt, context.state);
  if (!isProvablyNotRun(end, attempt)) {
    forwarding.possibleRuns += 1;
    forwarding.verdict = 'may-have-run';
  }
  const described = describeEnd(forwarding, attempt, end, context);
  // Another attempt is still running and may answer.
  const next =
    forwarding.attempts.size > 0
      ? stopRun(forwarding, attempt, end, context)
      : continueAfterStops(forwarding, attempt, end, context);
  return [...described, ...next];
};

/**
 * Hedges an idempotent request: sends it to a second endpoint while the first has not answered.
 * Without a second endpoint the first attempt goes on alone.
 *
 * @param forwarding - request with one running attempt
 * @param context - state and inputs
 * @returns effects
 */
export const sendHedge = (forwarding: Forwarding, context: RequestsContext): Effects => {
  if (checkRequestContent(forwarding.request, context.inputs).kind === 'quarantined') return [];
  const plan = planFurtherAttempt(forwarding, context);
  if (plan === null) return [];
  const { decision, effects } = decideFurtherSend(forwarding, { kind: 'hedge' }, context);
  return decision.kind === 'denied'
    ? effects
    : [...effects, ...openAttempt(forwarding, plan, decision.permit, context)];
};

const recordPossibleRun = (forwarding: Forwarding): void => {
  const isSent = [...forwarding.attempts.values()].some(({ phase }) => phase !== 'connecting');
  if (isSent) forwarding.verdict = 'may-have-run';
};

/**
 * Ends all requests that are left when the daemon ends. A caller that has been sent nothing gets an
 * answer instead of the end of its connection.
 *
 * @param context - state and inputs
 * @returns effects
 */
export const endForDrain = (context: RequestsContext): Effects =>
  [...context.state.inFlight.values()].flatMap((forwarding) => {
    recordPossibleRun(forwarding);
    const cancelled = cancelRuns(forwarding, context);
    const reason = 'the daemon ends before the answer is complete';
    return [...cancelled, ...failRequest(forwarding, reason, context)];
  });

/**
 * Ends a request at its deadline.
 *
 * @param forwarding - request
 * @param context - state and inputs
 * @returns effects
 */
export const expireRequest = (forwarding: Forwarding, context: RequestsContext): Effects => {
  recordPossibleRun(forwarding);
  const observations = [...forwarding.attempts.values()].map(({ endpoint }): GatewayEffect => ({
    kind: 'post',
    event: {
      to: 'membership',
      kind: 'attempt-observed',
      endpoint: endpoint.id,
      observation: { kind: 'failed' },
    },
  }));
  const cancelled = cancelRuns(forwarding, context);
  const reason = 'the deadline of the request has passed';
  return [
    ...observations,
    ...cancelled,
    ...failRequest(forwarding, reason, context, 'deadline-exceeded'),
  ];
};
