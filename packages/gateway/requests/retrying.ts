import { removeAttempt } from './answerMemory.js';
import {
  cancelAttempts,
  openAttempt,
  openContinuation,
  placeRequest,
  planFromCopy,
  planFurtherAttempt,
} from './attempts.js';
import { MAX_NOT_RUN_ATTEMPTS } from './constants.js';
import { checkRequestContent } from './content.js';
import { findCopy } from './generationCopy.js';
import { failRequest } from './outcomes.js';
import type {
  Attempt,
  AttemptPurpose,
  Effects,
  Forwarding,
  RequestsContext,
  RequestsInputs,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { EventDetails } from '../../core/events/types.js';
import type { AttemptObservation } from '../../decisions/forwarding/endpointHealth.js';
import { createBudgetWindow, takeRetry } from '../../decisions/forwarding/retryBudget.js';
import type { BudgetWindow } from '../../decisions/forwarding/retryBudget.js';
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
  /** The endpoint states that it did not run the request. */
  | { readonly kind: 'refused'; readonly message: string }
  /** The endpoint answered with an error, which the caller gets if no other attempt succeeds. */
  | { readonly kind: 'failed-answer'; readonly message: string }
  /** No event arrived within the stall timeout, and another endpoint continues the stream. */
  | { readonly kind: 'silent'; readonly message: string };

/**
 * Returns the window of a service's retry budget, which is created on first use.
 *
 * @param forwarding - request of the service
 * @param context - state and inputs
 * @returns the window
 */
export const getBudget = ({ service }: Forwarding, { state }: RequestsContext): BudgetWindow => {
  const known = state.budgets.get(service.name);
  if (known !== undefined) return known;
  const window = createBudgetWindow(state.startedAt);
  state.budgets.set(service.name, window);
  return window;
};

/** Decision of the retry budget, and the effects that record it. */
export interface BudgetDecision {
  readonly outcome: 'taken' | 'spent';
  readonly effects: Effects;
}

/**
 * Takes one retry from the budget of a request's service.
 *
 * @param forwarding - request
 * @param purpose - purpose of the attempt that needs the retry
 * @param context - state and inputs
 * @returns the decision; `spent` when the budget permits no retry now
 */
export const takeFromBudget = (
  forwarding: Forwarding,
  purpose: AttemptPurpose,
  context: RequestsContext,
): BudgetDecision => {
  const { clock, getFleet, getLiveSettings } = context.inputs;
  const window = getBudget(forwarding, context);
  const now = clock.now();
  const fleet = getFleet();
  const { outcome, requests, retries } = takeRetry(window, getLiveSettings().budget, fleet, now);
  const service = forwarding.service.name;
  return {
    outcome,
    effects: [
      {
        kind: 'count',
        name: 'gateway_retry_decisions_total',
        labels: { service, purpose, outcome },
      },
      {
        kind: 'log',
        name: 'retry-decided',
        details: {
          requestId: forwarding.request.id,
          entity: service,
          data: {
            purpose,
            outcome,
            daemons: fleet.daemons,
            contact: fleet.contact,
            requests,
            retries,
            uptimeMs: Math.round(now - context.state.startedAt),
          },
        },
      },
    ],
  };
};

const toObservation = (end: AttemptEnd): AttemptObservation => {
  switch (end.kind) {
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

const describeEnd = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  { inputs }: RequestsContext,
): readonly GatewayEffect[] => [
  {
    kind: 'post',
    event: {
      to: 'membership',
      kind: 'attempt-observed',
      endpoint: attempt.endpoint.id,
      observation: toObservation(end),
    },
  },
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
        purpose: attempt.purpose,
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

/** Places the request again, or fails it when the budget permits no retry. */
const retryWithinBudget = (
  forwarding: Forwarding,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const { outcome, effects } = takeFromBudget(forwarding, 'retry', context);
  const reason = `${end.message}; the retry budget is spent`;
  const next =
    outcome === 'spent'
      ? failRequest(forwarding, reason, context)
      : placeRequest(forwarding, 'retry', context);
  return [...effects, ...next];
};

const retryAfterPossibleRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const { route } = forwarding;
  const { inputs } = context;
  // Its endpoint most likely crashed on this request, and the next one would crash as well.
  const isLikelyCause = end.kind === 'crashed' && end.progress === 'beginning';
  if (isLikelyCause || checkRequestContent(forwarding.request, inputs).kind === 'quarantined') {
    return failRequest(forwarding, end.message, context);
  }
  const copy = findCopy(attempt);
  const plan = copy === null ? null : planFromCopy(forwarding, copy, context);
  const continuation = plan === null ? null : takeFromBudget(forwarding, 'continuation', context);
  if (plan !== null && continuation?.outcome === 'taken') {
    return [...continuation.effects, ...openContinuation(forwarding, plan, context)];
  }
  const denied = continuation?.effects ?? [];
  const hasAttempts = forwarding.possibleRuns < route.maxEndpoints;
  if (!isRetryable(forwarding) || !hasAttempts)
    return [...denied, ...failRequest(forwarding, end.message, context)];
  return [...denied, ...retryWithinBudget(forwarding, end, context)];
};

/** Resumes a generation that the target of its transfer refused at the endpoint that stopped it. */
const resumeAtFallback = (
  forwarding: Forwarding,
  { endpoint, fallback }: Attempt,
  context: RequestsContext,
): Effects | null => {
  if (fallback === null || fallback.holder.id === endpoint.id) return null;
  const plan = planFromCopy(forwarding, fallback, context);
  if (plan === null) return null;
  const { outcome, effects } = takeFromBudget(forwarding, 'continuation', context);
  if (outcome === 'spent') return null;
  const refusedTargets = new Set([endpoint.id]);
  return [...effects, ...openContinuation(forwarding, { ...plan, refusedTargets }, context)];
};

const retryNotRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  forwarding.notRunAttempts += 1;
  const resumed = resumeAtFallback(forwarding, attempt, context);
  if (resumed !== null) return resumed;
  // An earlier attempt may have run the request, and this one would have resumed from its copy.
  if (forwarding.verdict !== 'not-run' && !isRetryable(forwarding)) {
    return failRequest(forwarding, end.message, context);
  }
  if (forwarding.notRunAttempts >= MAX_NOT_RUN_ATTEMPTS)
    return failRequest(forwarding, end.message, context);
  // The retry of a request that was never sent adds no load to the endpoints, so it needs no
  // budget.
  return end.kind === 'refused'
    ? retryWithinBudget(forwarding, end, context)
    : placeRequest(forwarding, 'retry', context);
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
  const runs = forwarding.possibleRuns + forwarding.attempts.size;
  if (runs >= forwarding.route.maxEndpoints) return [];
  if (checkRequestContent(forwarding.request, context.inputs).kind === 'quarantined') return [];
  const plan = planFurtherAttempt(forwarding, 'hedge', context);
  if (plan === null) return [];
  const { outcome, effects } = takeFromBudget(forwarding, 'hedge', context);
  return outcome === 'spent' ? effects : [...effects, ...openAttempt(forwarding, plan, context)];
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
