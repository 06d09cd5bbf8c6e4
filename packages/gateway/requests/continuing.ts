import { isHolderUsable, openContinuation, planFromCopy } from './attempts.js';
import type { AttemptPlan } from './attempts.js';
import { isProvablyNotRun } from './attemptEnds.js';
import type { AttemptEnd } from './attemptEnds.js';
import { checkRequestContent } from './content.js';
import { listCopies, releaseCopy } from './generationCopy.js';
import { failRequest } from './outcomes.js';
import { placeRequest } from './placeRequest.js';
import { decideFurtherSend } from './sendDecisions.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { assertNever } from '../../core/assertNever.js';

const isRetryable = ({ route, delivered }: Forwarding): boolean =>
  route.resume === 'resumable' || (route.repeat === 'idempotent' && delivered === 'nothing');

/** Places the request again, or fails it when it may not be sent again. */
const retryIfPermitted = (
  forwarding: Forwarding,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const { decision, effects } = decideFurtherSend(forwarding, { kind: 'retry' }, context);
  switch (decision.kind) {
    case 'permitted':
      return [...effects, ...placeRequest(forwarding, decision.permit, context)];
    case 'denied': {
      const isSpent = decision.reason === 'budget-spent';
      const reason = isSpent ? `${end.message}; the retry budget is spent` : end.message;
      return [...effects, ...failRequest(forwarding, reason, context)];
    }
    default:
      return assertNever(decision);
  }
};

/** Whether a generation goes on from a copy, and the effects that start it or say why not. */
interface ContinuationResult {
  readonly outcome: 'continued' | 'not-continued';
  readonly effects: Effects;
}

const NOT_CONTINUED: ContinuationResult = { outcome: 'not-continued', effects: [] };

/** Continues a generation as planned, if it may be sent again. */
const continueAs = (
  forwarding: Forwarding,
  plan: AttemptPlan,
  context: RequestsContext,
): ContinuationResult => {
  const send = { kind: 'continuation', from: 'copy' } as const;
  const { decision, effects } = decideFurtherSend(forwarding, send, context);
  if (decision.kind === 'denied') return { outcome: 'not-continued', effects };
  const opened = openContinuation(forwarding, plan, decision.permit, context);
  return { outcome: 'continued', effects: [...effects, ...opened] };
};

/** Continues a generation from the first of its copies that can be used, if it may be sent again. */
const continueFromCopy = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): ContinuationResult => {
  const copies = listCopies(attempt);
  const index = copies.findIndex(({ holder }) => isHolderUsable(holder, context));
  const copy = copies[index];
  const plan = copy === undefined ? null : planFromCopy(forwarding, copy, context);
  if (plan === null) return NOT_CONTINUED;
  const fallback = copies[index + 1];
  return continueAs(forwarding, fallback === undefined ? plan : { ...plan, fallback }, context);
};

const retryAfterPossibleRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const { inputs } = context;
  // Its endpoint most likely crashed on this request, and the next one would crash as well.
  const isLikelyCause = end.kind === 'crashed' && end.progress === 'beginning';
  if (isLikelyCause || checkRequestContent(forwarding.request, inputs).kind === 'quarantined') {
    return failRequest(forwarding, end.message, context);
  }
  const { outcome, effects } = continueFromCopy(forwarding, attempt, context);
  if (outcome === 'continued') return effects;
  const next = isRetryable(forwarding)
    ? retryIfPermitted(forwarding, end, context)
    : failRequest(forwarding, end.message, context);
  return [...effects, ...releaseCopy(attempt), ...next];
};

/** Resumes a generation that the target of its transfer refused at the endpoint that stopped it. */
const resumeAtFallback = (
  forwarding: Forwarding,
  { endpoint, fallback }: Attempt,
  context: RequestsContext,
): ContinuationResult => {
  if (fallback === null || fallback.holder.id === endpoint.id) return NOT_CONTINUED;
  const plan = planFromCopy(forwarding, fallback, context);
  if (plan === null) return NOT_CONTINUED;
  return continueAs(forwarding, { ...plan, refusedTargets: new Set([endpoint.id]) }, context);
};

const retryNotRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  // Only an endpoint that was asked has refused.
  if (end.kind !== 'withdrawn') forwarding.notRunAttempts += 1;
  const resumed = resumeAtFallback(forwarding, attempt, context);
  if (resumed.outcome === 'continued') return resumed.effects;
  // An earlier attempt may have run the request, and this one would have resumed from its copy.
  if (forwarding.verdict !== 'not-run' && !isRetryable(forwarding)) {
    return [...resumed.effects, ...failRequest(forwarding, end.message, context)];
  }
  return [...resumed.effects, ...retryIfPermitted(forwarding, end, context)];
};

/**
 * Reports whether a request can go on after an attempt that may have run it: from a copy, or because it
 * may run again.
 *
 * @param forwarding - request
 * @param attempt - attempt that ended
 * @returns false when the request fails with its attempt
 */
export const isContinuable = (forwarding: Forwarding, attempt: Attempt): boolean =>
  isRetryable(forwarding) || listCopies(attempt).length > 0;

/**
 * Continues a request without a running attempt: from a copy, by another attempt, or with a failure.
 *
 * @param forwarding - request, no run of which is left at an endpoint
 * @param attempt - attempt that ended last
 * @param end - how it ended
 * @param context - state and inputs
 * @returns effects
 */
export const continueRequest = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects =>
  isProvablyNotRun(end, attempt)
    ? retryNotRun(forwarding, attempt, end, context)
    : retryAfterPossibleRun(forwarding, attempt, end, context);
