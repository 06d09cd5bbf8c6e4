import { openContinuation, planFromCopy, planFurtherAttempt } from './attempts.js';
import type { AttemptPlan } from './attempts.js';
import { checkRequestContent } from './content.js';
import { findCopy } from './generationCopy.js';
import { stopSilentRun } from './runStops.js';
import { decideFurtherSend } from './sendDecisions.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { GatewayEffect } from '../effects.js';

/** What is done about a stream whose endpoint is silent. */
type SilenceResponse =
  | 'ordered'
  | 'continued'
  | 'moved'
  | 'held'
  | 'unanswered'
  | 'no-endpoint'
  | 'budget-spent'
  | 'unverified';

/**
 * Describes what is done about a silent stream.
 *
 * @param forwarding - request
 * @param attempt - attempt that is silent
 * @param silentMs - time since its newest event
 * @param response - what is done
 * @returns a log line
 */
export const describeSilence = (
  { lastEventId, request, route }: Forwarding,
  { endpoint, events, number }: Attempt,
  silentMs: Millis,
  response: SilenceResponse,
): GatewayEffect => ({
  kind: 'log',
  name: 'stream-stalled',
  details: {
    requestId: request.id,
    endpoint: endpoint.id,
    entity: route.name,
    data: {
      attempt: number,
      silentMs: Math.round(silentMs),
      events,
      lastEventId: lastEventId ?? '',
      response,
    },
  },
});

/** Continuation of a stream, and what it starts from. */
interface ContinuationPlan {
  readonly plan: AttemptPlan;
  readonly from: 'copy' | 'last-event';
}

/** Plans the continuation of a stream that its endpoint does not have to give up. */
const planContinuation = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): ContinuationPlan | null => {
  if (checkRequestContent(forwarding.request, context.inputs).kind === 'quarantined') return null;
  const copy = findCopy(attempt);
  if (copy !== null) {
    const plan = planFromCopy(forwarding, copy, context);
    return plan === null ? null : { plan, from: 'copy' };
  }
  if (forwarding.route.resume !== 'resumable') return null;
  const plan = planFurtherAttempt(forwarding, context);
  return plan === null ? null : { plan, from: 'last-event' };
};

/**
 * Continues a silent stream at another endpoint, if one can. The silent one keeps its attempt until
 * the continuation is under way.
 *
 * @param forwarding - request
 * @param attempt - attempt that is silent
 * @param context - state and inputs
 * @returns effects
 */
export const continueElsewhere = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
  const describe = (response: SilenceResponse): GatewayEffect =>
    describeSilence(forwarding, attempt, silentMs, response);
  const planned = planContinuation(forwarding, attempt, context);
  if (planned === null) return [describe('no-endpoint')];
  const { from, plan } = planned;
  const send = { kind: 'continuation', from } as const;
  const { decision, effects } = decideFurtherSend(forwarding, send, context);
  if (decision.kind === 'denied') {
    const response = decision.reason === 'budget-spent' ? 'budget-spent' : 'no-endpoint';
    return [...effects, describe(response)];
  }
  const opened = openContinuation(forwarding, plan, decision.permit, context);
  return [...effects, describe('continued'), ...opened];
};

/**
 * Orders the engine of a silent stream to stop, after which the stream goes on elsewhere. A plain service takes
 * no such order, and is left at once.
 *
 * @param forwarding - request
 * @param attempt - attempt that is silent
 * @param context - state and inputs
 * @returns effects
 */
export const stopAndContinue = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  if (forwarding.service.engine === null) return continueElsewhere(forwarding, attempt, context);
  const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
  // A run that is stopped and cannot go on would be lost.
  if (checkRequestContent(forwarding.request, context.inputs).kind === 'quarantined')
    return [describeSilence(forwarding, attempt, silentMs, 'no-endpoint')];
  const { decision, effects } = decideFurtherSend(forwarding, { kind: 'transfer' }, context);
  if (decision.kind === 'denied')
    return [...effects, describeSilence(forwarding, attempt, silentMs, 'budget-spent')];
  return [
    ...effects,
    describeSilence(forwarding, attempt, silentMs, 'ordered'),
    ...stopSilentRun(forwarding, attempt, decision.permit, context),
  ];
};
