import {
  FIRST_EVENT_ID,
  HEDGE_SHARE,
  HOLD_RETRY_MS,
  HOLD_SHARE,
  MIN_SILENCE_MS,
  SILENCE_GAPS,
} from './constants.js';
import { addLoad, countColdSend, limitCold, releaseLoad } from './load.js';
import { refuseRequest } from './outcomes.js';
import type {
  Attempt,
  AttemptPurpose,
  Effects,
  Forwarding,
  RequestsContext,
  RequestsState,
} from './types.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import { EMPTY_SPLITTER } from '../../decisions/forwarding/eventSplitter.js';
import { estimateTokens, placeBackup, placeForward } from '../../decisions/forwarding/placeForward.js';
import type { Candidate, PlacementQuestion } from '../../decisions/forwarding/placeForward.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../events.js';

/**
 * Computes the silence after which a stream is taken to another endpoint.
 *
 * @param forwarding - request with its route
 * @returns the time
 */
export const computeSilence = ({ route }: Forwarding): Millis =>
  Math.max(MIN_SILENCE_MS, (route.gapTargetMs ?? 0) * SILENCE_GAPS);

const listCandidates = (forwarding: Forwarding, { state, inputs }: RequestsContext) =>
  limitCold(
    state,
    inputs.listEndpoints(forwarding.service.name),
    forwarding.service,
    inputs,
    inputs.clock.now(),
  );

const buildQuestion = (
  { request, route, service, tried }: Forwarding,
  now: Millis,
): PlacementQuestion => ({
  service,
  demand: request.demand,
  targetMs: route.targetMs,
  tried,
  now,
});

/** Only a generation that cannot be started again needs a copy; short ones resume from their ids. */
const chooseBackup = (
  forwarding: Forwarding,
  runner: EndpointRecord,
  candidates: readonly Candidate[],
  { inputs }: RequestsContext,
): EndpointRecord | null => {
  const { route } = forwarding;
  if (route.answer !== 'stream' || route.resume === 'resumable') return null;
  const question = buildQuestion(forwarding, inputs.clock.now());
  return placeBackup(candidates, question, runner, inputs.random)?.record ?? null;
};

const scheduleChecks = (forwarding: Forwarding, attempt: Attempt): GatewayEffect[] => {
  const { request, route } = forwarding;
  const { key } = request;
  if (route.answer === 'stream') {
    return [
      {
        kind: 'schedule',
        delayMs: computeSilence(forwarding),
        event: { to: 'requests', kind: 'silence-due', key, attempt: attempt.number },
      },
    ];
  }
  if (route.repeat !== 'idempotent' || attempt.purpose === 'hedge') return [];
  return [
    {
      kind: 'schedule',
      delayMs: route.targetMs * HEDGE_SHARE,
      event: { to: 'requests', kind: 'hedge-due', key, attempt: attempt.number },
    },
  ];
};

/** Where an attempt goes and what it goes on from. */
export interface AttemptPlan {
  readonly candidate: Candidate;
  readonly purpose: AttemptPurpose;
  /** Whether the endpoint holds a copy of the generation to go on from. */
  readonly copy: 'held' | 'none';
}

/**
 * Starts an attempt.
 *
 * @param forwarding - request
 * @param plan - endpoint and purpose
 * @param candidates - endpoints for the copy of the generation
 * @param context - state and inputs
 * @returns effects that send it
 */
export const openAttempt = (
  forwarding: Forwarding,
  plan: AttemptPlan,
  candidates: readonly Candidate[],
  context: RequestsContext,
): Effects => {
  const { state, inputs } = context;
  const { customer, request, route, service } = forwarding;
  const now = inputs.clock.now();
  const endpoint = plan.candidate.record;
  const backup = chooseBackup(forwarding, endpoint, candidates, context);
  forwarding.attemptsMade += 1;
  forwarding.tried.add(endpoint.id);
  const attempt: Attempt = {
    number: forwarding.attemptsMade,
    endpoint,
    purpose: plan.purpose,
    startedAt: now,
    backup,
    tokens: request.demand === null ? 0 : estimateTokens(request.demand),
    phase: 'connecting',
    head: null,
    chunks: [],
    bytes: 0,
    splitter: EMPTY_SPLITTER,
    lastEventAt: now,
  };
  forwarding.attempts.set(attempt.number, attempt);
  addLoad(state, attempt);
  if (plan.candidate.coldRoom !== null) countColdSend(state, endpoint.id, now);
  const isCopy = plan.copy === 'held';
  return [
    {
      kind: 'open-attempt',
      order: {
        key: request.key,
        attempt: attempt.number,
        address: endpoint.address,
        request,
        head: {
          endpointId: endpoint.id,
          leftMs: Math.max(1, Math.floor(forwarding.deadlineAt - now)),
          customer: customer?.name ?? null,
          rank: service.engine === null ? null : route.rank,
          lastEventId: isCopy ? (forwarding.lastEventId ?? FIRST_EVENT_ID) : forwarding.lastEventId,
          backup: backup?.address ?? null,
          copyAt: isCopy ? endpoint.address : null,
        },
      },
    },
    {
      kind: 'log',
      name: 'request-placed',
      details: {
        requestId: request.id,
        endpoint: endpoint.id,
        entity: route.name,
        data: {
          attempt: attempt.number,
          purpose: plan.purpose,
          candidates: candidates.length,
          load: plan.candidate.load.requests,
          tokens: plan.candidate.load.tokens,
          backup: backup?.id ?? '',
          leftMs: Math.round(forwarding.deadlineAt - now),
        },
      },
    },
    ...scheduleChecks(forwarding, attempt),
  ];
};

/**
 * Ends an attempt in the tables of this daemon.
 *
 * @param forwarding - request
 * @param attempt - attempt that ended or is given up
 * @param state - tables
 */
export const closeAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  state: RequestsState,
): void => {
  if (!forwarding.attempts.delete(attempt.number)) return;
  releaseLoad(state, attempt);
};

/**
 * Gives up every running attempt of a request.
 *
 * @param forwarding - request
 * @param state - tables
 * @returns effects that end their connections
 */
export const cancelAttempts = (forwarding: Forwarding, state: RequestsState): Effects =>
  [...forwarding.attempts.values()].map((attempt) => {
    closeAttempt(forwarding, attempt, state);
    return { kind: 'cancel-attempt', key: forwarding.request.key, attempt: attempt.number };
  });

/**
 * Places a request at an endpoint, holds it for a moment, or refuses it.
 *
 * @param forwarding - request without a running attempt
 * @param purpose - purpose of the attempt
 * @param context - state and inputs
 * @returns effects
 */
export const placeRequest = (
  forwarding: Forwarding,
  purpose: AttemptPurpose,
  context: RequestsContext,
): Effects => {
  const { inputs } = context;
  const now = inputs.clock.now();
  const candidates = listCandidates(forwarding, context);
  const candidate = placeForward(candidates, buildQuestion(forwarding, now), inputs.random);
  if (candidate !== null) {
    return openAttempt(forwarding, { candidate, purpose, copy: 'none' }, candidates, context);
  }
  const { request, route } = forwarding;
  if (now - request.receivedAt < route.targetMs * HOLD_SHARE) {
    const event = { to: 'requests', kind: 'placement-due', key: request.key } as const;
    return [{ kind: 'schedule', delayMs: HOLD_RETRY_MS, event }];
  }
  const failure = createFailure('not-run', 'no-endpoint', 'no endpoint of the service can be used');
  return refuseRequest(forwarding, failure, context);
};

/**
 * Goes on with a generation at the endpoint that keeps its copy.
 *
 * @param forwarding - request whose endpoint was lost
 * @param backup - endpoint of the copy
 * @param context - state and inputs
 * @returns effects, or null when that endpoint cannot be used
 */
export const continueAtBackup = (
  forwarding: Forwarding,
  backup: EndpointRecord,
  context: RequestsContext,
): Effects | null => {
  const candidates = listCandidates(forwarding, context);
  const candidate = candidates.find(({ record }) => record.id === backup.id);
  if (candidate === undefined) return null;
  return openAttempt(
    forwarding,
    { candidate, purpose: 'continuation', copy: 'held' },
    candidates,
    context,
  );
};
