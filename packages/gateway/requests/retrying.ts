import { removeAttempt } from './answerMemory.js';
import {
  cancelAttempts,
  openAttempt,
  openContinuation,
  planFromCopy,
  planFurtherAttempt,
} from './attempts.js';
import { placeRequest } from './placeRequest.js';
import { checkRequestContent } from './content.js';
import { findCopy } from './generationCopy.js';
import { failRequest } from './outcomes.js';
import { decideFurtherSend } from './sendDecisions.js';
import type { Attempt, Effects, Forwarding, RequestsContext, RequestsInputs } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { EventDetails } from '../../core/events/types.js';
import type { AttemptObservation } from '../../decisions/forwarding/endpointHealth.js';
import type { CrashProgress } from '../../decisions/quarantine/crashEvidence.js';
import type { AttemptFailure, GatewayEffect } from '../events.js';

/** How an attempt ended without a usable answer. */
export type AttemptEnd =
  | AttemptFailure
  /** The endpoint crashed; `begun` after it had sent events. */
  | {
      readonly kind: 'crashed';
      readonly progress: CrashProgress | 'begun';
      readonly message: string;
    }
  /** The endpoint stated, before the request was sent, that it takes none. */
  | { readonly kind: 'withdrawn'; readonly message: string }
  /** The endpoint states that it did not run the request. */
  | { readonly kind: 'refused'; readonly message: string }
  /** The endpoint answered with an error, which the caller gets if no other attempt succeeds. */
  | { readonly kind: 'failed-answer'; readonly message: string }
  /** No event arrived within the stall timeout, and another endpoint continues the stream. */
  | { readonly kind: 'silent'; readonly message: string };

/** An attempt that was not sent shows nothing of its endpoint. */
const toObservation = (end: AttemptEnd): AttemptObservation | null => {
  switch (end.kind) {
    case 'withdrawn':
      return null;
    case 'unreachable':
    case 'crashed':
      return { kind: 'unreachable' };
    case 'refused':
      return { kind: 'full' };
    case 'broken':
    case 'garbled':
    case 'failed-answer':
    case 'silent':
      return { kind: 'failed' };
    default:
      return assertNever(end);
  }
};

/** Reports whether the endpoint cannot have run the request. */
const isProvablyNotRun = (end: AttemptEnd, attempt: Attempt): boolean => {
  switch (end.kind) {
    case 'unreachable':
    case 'withdrawn':
    case 'refused':
      return true;
    case 'broken':
      return attempt.phase === 'connecting';
    case 'crashed':
    case 'garbled':
    case 'failed-answer':
    case 'silent':
      return false;
    default:
      return assertNever(end);
  }
};

/**
 * Describes the content of a request whose connection broke, so that requests that crash endpoints
 * can be found by what they have in common.
 */
const describeContent = (
  { request }: Forwarding,
  end: AttemptEnd,
  { hashContent }: RequestsInputs,
): EventDetails['data'] =>
  end.kind === 'broken' || end.kind === 'crashed'
    ? { content: hashContent(request), promptParts: request.promptParts }
    : {};

const observeEnd = ({ endpoint }: Attempt, end: AttemptEnd): Effects => {
  const observation = toObservation(end);
  if (observation === null) return [];
  const event = { to: 'membership', kind: 'attempt-observed', endpoint: endpoint.id } as const;
  return [{ kind: 'post', event: { ...event, observation } }];
};

const describeEnd = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  { inputs }: RequestsContext,
): readonly GatewayEffect[] => [
  ...observeEnd(attempt, end),
  {
    kind: 'count',
    name: 'gateway_attempt_failures_total',
    labels: { route: forwarding.route.name, reason: end.kind },
  },
  {
    kind: 'log',
    name: 'attempt-ended',
    details: {
      requestId: forwarding.request.id,
      endpoint: attempt.endpoint.id,
      entity: forwarding.route.name,
      data: {
        attempt: attempt.number,
        purpose: attempt.permit.purpose,
        reason: end.kind,
        message: end.message,
        phase: attempt.phase,
        afterMs: Math.round(inputs.clock.now() - attempt.startedAt),
        lastEventId: forwarding.lastEventId ?? '',
        events: attempt.events,
        ...describeContent(forwarding, end, inputs),
      },
    },
  },
];

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

/** Continues a generation from its copy, if it has a usable one and may be sent again. */
const continueFromCopy = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): ContinuationResult => {
  const copy = findCopy(attempt);
  const plan = copy === null ? null : planFromCopy(forwarding, copy, context);
  if (plan === null) return NOT_CONTINUED;
  const send = { kind: 'continuation', from: 'copy' } as const;
  const { decision, effects } = decideFurtherSend(forwarding, send, context);
  if (decision.kind === 'denied') return { outcome: 'not-continued', effects };
  const opened = openContinuation(forwarding, plan, decision.permit, context);
  return { outcome: 'continued', effects: [...effects, ...opened] };
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
  return [...effects, ...next];
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
  const send = { kind: 'continuation', from: 'copy' } as const;
  const { decision, effects } = decideFurtherSend(forwarding, send, context);
  if (decision.kind === 'denied') return { outcome: 'not-continued', effects };
  const refusedTargets = new Set([endpoint.id]);
  const opened = openContinuation(
    forwarding,
    { ...plan, refusedTargets },
    decision.permit,
    context,
  );
  return { outcome: 'continued', effects: [...effects, ...opened] };
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
  const isNotRun = isProvablyNotRun(end, attempt);
  removeAttempt(forwarding, attempt, context.state);
  if (!isNotRun) {
    forwarding.possibleRuns += 1;
    forwarding.verdict = 'may-have-run';
  }
  const described = describeEnd(forwarding, attempt, end, context);
  // Another attempt is still running and may answer.
  if (forwarding.attempts.size > 0) return described;
  const next = isNotRun
    ? retryNotRun(forwarding, attempt, end, context)
    : retryAfterPossibleRun(forwarding, attempt, end, context);
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
    const cancelled = cancelAttempts(forwarding, context);
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
  const cancelled = cancelAttempts(forwarding, context);
  const reason = 'the deadline of the request has passed';
  return [
    ...observations,
    ...cancelled,
    ...failRequest(forwarding, reason, context, 'deadline-exceeded'),
  ];
};
