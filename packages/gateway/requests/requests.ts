import { continueAnswer, finishAnswer, releaseHeldStream, startAnswer } from './answering.js';
import { removeForwarding } from './answerMemory.js';
import { placeRequest, placeWaiting } from './placeRequest.js';
import {
  DRAIN_ACCEPT_MS,
  DRAIN_RETRY_AFTER_MS,
  MAX_REQUESTS,
  UNREADY_RETRY_AFTER_MAX_MS,
  UNREADY_RETRY_AFTER_SHARE,
} from './constants.js';
import { checkRequestContent, createQuarantineFailure } from './content.js';
import { drainEndpoint, startNextTransfer } from './transferStarts.js';
import { checkStreamEnd, handleTransferResult } from './transfers.js';
import { cancelQuarantined, endProbedAttempt, failAttempt } from './crashes.js';
import { settleEnd, findUnproven, recordProof } from './endProof.js';
import { endForDrain, expireRequest, sendHedge } from './retrying.js';
import { checkRun, handleRunState } from './runChecks.js';
import { sendAttempt } from './sendAttempt.js';
import { cancelRuns } from './runStops.js';
import { getBudget } from './sendDecisions.js';
import { checkStall, endSilentAttempt } from './silence.js';
import { checkStop, handleStopAnswer, handleStoppedRunState } from './stopAnswers.js';
import { findStop } from './stopState.js';
import type {
  Attempt,
  Effects,
  Forwarding,
  RequestsContext,
  RequestsInputs,
  RequestsState,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { countRequest } from '../../decisions/forwarding/budgetWindow.js';
import { admitFirstSend } from '../../decisions/forwarding/sendPermits.js';
import { chooseService, findRoute } from '../../decisions/forwarding/routing.js';
import type { ForwardRequest, Route, Service } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { BodyState, RequestsEvent } from '../events.js';

const refuseArrival = (
  request: ForwardRequest,
  failure: Failure,
  { getRoutingTable }: RequestsInputs,
): Effects => [
  { kind: 'refuse', key: request.key, failure },
  { kind: 'count', name: 'gateway_requests_total', labels: { route: '', outcome: failure.code } },
  {
    kind: 'log',
    name: 'request-failed',
    details: {
      requestId: request.id,
      data: {
        code: failure.code,
        verdict: failure.verdict,
        reason: failure.message,
        version: getRoutingTable()?.version ?? 0,
      },
    },
  },
];

/** Refuses with a long retry-after: the cause lasts a while, and callers retry only a few times. */
const refuseUnready = (
  request: ForwardRequest,
  message: string,
  inputs: RequestsInputs,
): Effects => {
  const retryAfterMs = Math.min(
    UNREADY_RETRY_AFTER_MAX_MS,
    (request.callerTimeoutMs ?? 0) * UNREADY_RETRY_AFTER_SHARE,
  );
  const failure = createFailure('not-run', 'no-endpoint', message, retryAfterMs);
  return refuseArrival(request, failure, inputs);
};

const chooseTargetService = (route: Route, inputs: RequestsInputs): Service | null => {
  const name = chooseService(route, inputs.random);
  return name === null ? null : (inputs.getRoutingTable()?.services.get(name) ?? null);
};

/**
 * Reports whether a draining daemon may end before it finishes a request. Once the balancer sends no
 * more connections, only requests are admitted whose time ends before: an endpoint may fall silent,
 * and a stream that has begun cannot be answered in any other way. The caller's retry reaches another
 * daemon.
 */
const isTooLongForDrain = (
  route: Route,
  { callerTimeoutMs }: ForwardRequest,
  { getDrain }: RequestsInputs,
): boolean => {
  const drain = getDrain();
  if (drain === null) return false;
  if (drain.drainedMs < DRAIN_ACCEPT_MS && drain.leftMs > 0) return false;
  return Math.min(route.timeoutMs, callerTimeoutMs ?? Infinity) > drain.leftMs;
};

const createForwarding = (
  request: ForwardRequest,
  route: Route,
  service: Service,
  customer: Forwarding['customer'],
  configurationVersion: number,
): Forwarding => ({
  request,
  route,
  service,
  customer,
  deadlineAt: request.receivedAt + Math.min(route.timeoutMs, request.callerTimeoutMs ?? Infinity),
  configurationVersion,
  attempts: new Map(),
  tried: new Set(),
  waitsForStops: null,
  attemptsMade: 0,
  sends: 0,
  waitingPermit: null,
  roomWait: null,
  possibleRuns: 0,
  notRunAttempts: 0,
  crashedEndpoints: 0,
  repeatedTransfers: 0,
  verdict: 'not-run',
  delivered: 'nothing',
  lastEventId: request.lastEventId,
  eventsDelivered: 0,
  fallbackAnswer: null,
  firstEventAt: null,
  usage: 'not-counted',
  longestGapMs: 0,
  lastDeliveredAt: request.receivedAt,
});

const admitRequest = (
  request: ForwardRequest,
  body: BodyState,
  context: RequestsContext,
): Effects => {
  const { inputs, state } = context;
  const table = inputs.getRoutingTable();
  if (table === null) return refuseUnready(request, 'no configuration has been loaded yet', inputs);
  const found = findRoute(table, request);
  switch (found.kind) {
    case 'no-route':
      return refuseArrival(
        request,
        createFailure('not-run', 'unknown-service', 'no route matches'),
        inputs,
      );
    case 'unknown-key':
      return refuseArrival(
        request,
        createFailure('not-run', 'unauthorized', 'the key is unknown'),
        inputs,
      );
    case 'routed':
      break;
    default:
      return assertNever(found);
  }
  // The configuration has changed since it was decided not to read the body.
  if (body === 'unread') return refuseUnready(request, 'the body has not been read', inputs);
  const { customer, route } = found;
  if (isTooLongForDrain(route, request, inputs)) {
    const retryAfterMs = DRAIN_RETRY_AFTER_MS;
    const message = 'the daemon is draining and would end before the answer is complete';
    const failure = createFailure('not-run', 'draining', message, retryAfterMs);
    return refuseArrival(request, failure, inputs);
  }
  const service = chooseTargetService(route, inputs);
  if (service === null) return refuseUnready(request, 'the route has no service', inputs);
  if (state.inFlight.size >= MAX_REQUESTS)
    return refuseUnready(request, 'too many requests', inputs);
  const now = inputs.clock.now();
  const content = checkRequestContent(request, inputs);
  if (content.kind === 'quarantined') {
    return refuseArrival(request, createQuarantineFailure(content), inputs);
  }
  const forwarding = createForwarding(request, route, service, customer, table.version);
  state.inFlight.set(request.key, forwarding);
  const { settings, window } = getBudget(forwarding, context);
  countRequest(window, settings, now);
  return [
    {
      kind: 'schedule',
      delayMs: forwarding.deadlineAt - now,
      event: { to: 'requests', kind: 'deadline-reached', key: request.key },
    },
    ...placeRequest(forwarding, admitFirstSend(), context),
  ];
};

const cancelRequest = (forwarding: Forwarding, context: RequestsContext): Effects => {
  const { request, route } = forwarding;
  const { clock } = context.inputs;
  const cancelled = cancelRuns(forwarding, context);
  removeForwarding(forwarding, context.state);
  return [
    ...cancelled,
    {
      kind: 'count',
      name: 'gateway_requests_total',
      labels: { route: route.name, outcome: 'cancelled' },
    },
    {
      kind: 'log',
      name: 'request-cancelled',
      details: {
        requestId: request.id,
        entity: route.name,
        data: {
          afterMs: Math.round(clock.now() - request.receivedAt),
          attempts: forwarding.attemptsMade,
          lastEventId: forwarding.lastEventId ?? '',
          version: forwarding.configurationVersion,
        },
      },
    },
  ];
};

/** Event of an attempt that has not ended. */
type AttemptEvent = Exclude<
  Extract<RequestsEvent, { attempt: number }>,
  { kind: 'transfer-ended' | 'run-stop-answered' | 'run-stop-due' }
>;

/** What an engine says about a run that is to stop; null if no order to stop it stands. */
const handleRunCheck = (
  { attempt, key, run }: Extract<RequestsEvent, { kind: 'run-checked' }>,
  context: RequestsContext,
): Effects | null => {
  const stop = findStop(key, attempt, context);
  return stop === null ? null : handleStoppedRunState(stop, run, context);
};

const handleAttemptEvent = (
  event: AttemptEvent,
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  switch (event.kind) {
    case 'attempt-connected':
      return sendAttempt(forwarding, attempt, context);
    case 'answer-started':
      return startAnswer(forwarding, attempt, event.head, context);
    case 'answer-continued':
      return continueAnswer(forwarding, attempt, event.bytes, context);
    case 'answer-ended':
      return finishAnswer(forwarding, attempt, context);
    case 'attempt-failed':
      return checkStreamEnd(forwarding, attempt, 'broken', context) === 'wait'
        ? []
        : failAttempt(forwarding, attempt, event.failure, context);
    case 'endpoint-probed':
      return recordProof(attempt, event.result, context) === 'proved'
        ? finishAnswer(forwarding, attempt, context)
        : endProbedAttempt(forwarding, attempt, event.result, context);
    case 'hedge-due':
      return attempt.phase === 'answering' ? [] : sendHedge(forwarding, context);
    case 'stall-check-due':
      return checkStall(forwarding, attempt, context);
    case 'run-check-due':
      return checkRun(forwarding, attempt, context);
    case 'run-checked':
      return handleRunState(forwarding, attempt, event.run, context);
    case 'overlap-ended':
      return endSilentAttempt(forwarding, attempt, context);
    default:
      return assertNever(event);
  }
};

/** Finishes an answer that has ended when there is no time left for the proof; null without one. */
const finishUnproven = (forwarding: Forwarding, context: RequestsContext): Effects | null => {
  const attempt = findUnproven(forwarding);
  if (attempt === null) return null;
  settleEnd(attempt);
  return finishAnswer(forwarding, attempt, context);
};

const endAllForDrain = (context: RequestsContext): Effects => {
  const forwardings = [...context.state.inFlight.values()];
  const finished = forwardings.flatMap((forwarding) => finishUnproven(forwarding, context) ?? []);
  return [...finished, ...endForDrain(context)];
};

const decideEvent = (event: RequestsEvent, context: RequestsContext): Effects => {
  if (event.kind === 'request-arrived') return admitRequest(event.request, event.body, context);
  if (event.kind === 'room-due') return placeWaiting(event.service, context);
  if (event.kind === 'transfer-due') return startNextTransfer(event.source, context);
  if (event.kind === 'endpoint-leaving') return drainEndpoint(event.endpoint, context);
  if (event.kind === 'content-quarantined') return cancelQuarantined(context);
  if (event.kind === 'drain-ended') return endAllForDrain(context);
  if (event.kind === 'transfer-ended') return handleTransferResult(event, context);
  if (event.kind === 'run-stop-answered') return handleStopAnswer(event, context);
  if (event.kind === 'run-stop-due') return checkStop(event, context);
  const checked = event.kind === 'run-checked' ? handleRunCheck(event, context) : null;
  if (checked !== null) return checked;
  const forwarding = context.state.inFlight.get(event.key);
  if (forwarding === undefined) return [];
  switch (event.kind) {
    case 'caller-disconnected':
      return cancelRequest(forwarding, context);
    case 'deadline-reached':
      return finishUnproven(forwarding, context) ?? expireRequest(forwarding, context);
    case 'placement-due':
      return forwarding.waitingPermit === null
        ? []
        : placeRequest(forwarding, forwarding.waitingPermit, context);
    case 'attempt-connected':
    case 'answer-started':
    case 'answer-continued':
    case 'answer-ended':
    case 'attempt-failed':
    case 'endpoint-probed':
    case 'hedge-due':
    case 'stall-check-due':
    case 'run-check-due':
    case 'run-checked':
    case 'overlap-ended': {
      const attempt = forwarding.attempts.get(event.attempt);
      // Events of attempts that have ended are late.
      if (attempt === undefined) return [];
      const handled = handleAttemptEvent(event, forwarding, attempt, context);
      return [...handled, ...releaseHeldStream(forwarding, context)];
    }
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `requests` child, which owns the requests in flight. When it
 * restarts, all of its requests fail, since their state is not stored anywhere else.
 *
 * @param inputs - inputs from the rest of the daemon
 * @returns the decision logic
 */
export const createRequestsLogic = (
  inputs: RequestsInputs,
): ChildLogic<RequestsState, RequestsEvent, GatewayEffect> => ({
  init: () => ({
    state: {
      startedAt: inputs.clock.now(),
      inFlight: new Map(),
      runStops: new Map(),
      answerBytes: 0,
      budgets: new Map(),
      sentTimes: new Map(),
      waiting: new Map(),
      scheduledRooms: new Set(),
      recentUse: new Map(),
      urgentNeeds: new Map(),
    },
    effects: [{ kind: 'reset-requests' }],
  }),
  decide: (state, event) => ({ state, effects: decideEvent(event, { state, inputs }) }),
});
