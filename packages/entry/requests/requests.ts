import { applyCallCompletion, createCall, placeCall } from './call.js';
import { findClass } from './classes.js';
import { TICK_MS, TRIES_PER_EVENT } from './constants.js';
import type { EndpointCompletion } from './endpointClient.js';
import {
  applyCompletion,
  applyDelivery,
  createGeneration,
  placeGeneration,
  startResume,
} from './generation.js';
import type { RequestsInputs } from './inputs.js';
import {
  applyIntent,
  applyKeyedCompletion,
  createKeyed,
  placeKeyed,
  toFenceResult,
} from './keyed.js';
import { failRequest } from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import type { ClassPolicy, RequestState, RequestsState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { RequestId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { EntryEffect, RequestsEvent } from '../events.js';
import type { CallerRequest } from '../types.js';

/** Puts the next state of a request into the table. */
const storeStep = (
  state: RequestsState,
  requestId: RequestId,
  step: RequestStep,
): readonly EntryEffect[] => {
  const before = state.table.get(requestId);
  if (step.state === null) state.table.delete(requestId);
  else state.table.set(requestId, step.state);
  const isQueued = step.state?.waiting === 'in-queue';
  if (!isQueued || before?.waiting === 'in-queue') return step.effects;
  state.queue.push(requestId);
  const queued: EntryEffect = {
    kind: 'log',
    name: 'request-queued',
    details: { requestId, data: { reason: step.state.lastFailureText, depth: state.queue.length } },
  };
  return [...step.effects, queued];
};

const refuseArrival = (request: CallerRequest, failure: Failure): readonly EntryEffect[] => {
  const { requestId } = request;
  return [
    { kind: 'fail-request', requestId, failure },
    {
      kind: 'log',
      name: failure.code === 'shed' ? 'request-shed' : 'request-failed',
      details: { requestId, data: { code: failure.code, verdict: failure.verdict } },
    },
  ];
};

const checkArrival = (
  state: RequestsState,
  request: CallerRequest,
  inputs: RequestsInputs,
): Failure | null => {
  if (state.table.size >= inputs.limits.maxRequests) {
    return createFailure('not-run', 'shed', 'too many requests are in progress', 1_000);
  }
  if (request.kind === 'generation' && !inputs.models.includes(request.model)) {
    return createFailure('not-run', 'unknown-model', `no model is called ${request.model}`);
  }
  return null;
};

const startRequest = (
  request: CallerRequest,
  policy: ClassPolicy,
  inputs: RequestsInputs,
): RequestStep => {
  switch (request.kind) {
    case 'generation':
      return placeGeneration(createGeneration(request, policy, inputs), inputs);
    case 'resume':
      return startResume(request, policy, inputs);
    case 'service':
      return request.repeat === 'never' || policy.repeat === 'never'
        ? applyIntent(createKeyed(request, policy, inputs), { kind: 'start' }, inputs)
        : placeCall(createCall(request, policy, inputs), inputs);
    default:
      return assertNever(request);
  }
};

const receiveRequest = (
  state: RequestsState,
  request: CallerRequest,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  const refusal = checkArrival(state, request, inputs);
  if (refusal !== null) return refuseArrival(request, refusal);
  const found = findClass(
    request,
    inputs.getCustomerDefault(request.customer),
    inputs.getClasses(),
  );
  if (found.kind === 'unknown') {
    const text = `no class is called ${found.className}`;
    return refuseArrival(request, createFailure('not-run', 'unknown-class', text));
  }
  const { requestId } = request;
  const received: EntryEffect = {
    kind: 'log',
    name: 'request-received',
    details: {
      requestId,
      data: { kind: request.kind, customer: request.customer, class: found.policy.className },
    },
  };
  const step = startRequest(request, found.policy, inputs);
  return [received, ...storeStep(state, requestId, step)];
};

const placeWaiting = (waiting: RequestState, inputs: RequestsInputs): RequestStep => {
  switch (waiting.kind) {
    case 'generation':
      return placeGeneration(waiting, inputs);
    case 'call':
      return placeCall(waiting, inputs);
    case 'keyed':
      return placeKeyed(waiting, inputs);
    default:
      return assertNever(waiting);
  }
};

/** Tries waiting requests in order; those that still find no room stay where they are. */
const drainQueue = (state: RequestsState, inputs: RequestsInputs): readonly EntryEffect[] => {
  const effects: EntryEffect[] = [];
  const tried = state.queue.splice(0, TRIES_PER_EVENT);
  const left: RequestId[] = [];
  for (const requestId of tried) {
    const waiting = state.table.get(requestId);
    if (waiting?.waiting !== 'in-queue') continue;
    const step = placeWaiting(waiting, inputs);
    effects.push(...storeStep(state, requestId, step));
    if (step.state?.waiting === 'in-queue') left.push(requestId);
  }
  state.queue.unshift(...left);
  return effects;
};

const updateRequest = (
  state: RequestsState,
  requestId: RequestId,
  decide: (request: RequestState) => RequestStep,
): readonly EntryEffect[] => {
  const known = state.table.get(requestId);
  return known === undefined ? [] : storeStep(state, requestId, decide(known));
};

const applyEndpointCompletion = (
  known: RequestState,
  completion: EndpointCompletion,
  inputs: RequestsInputs,
): RequestStep => {
  switch (completion.kind) {
    case 'link-opened':
    case 'chunks-received':
    case 'generation-finished':
    case 'generation-failed':
    case 'link-lost':
      return known.kind === 'generation'
        ? applyCompletion(known, completion, inputs)
        : toStep(known);
    case 'call-answered':
    case 'call-failed':
      if (known.kind === 'call') return applyCallCompletion(known, completion, inputs);
      return known.kind === 'keyed'
        ? applyKeyedCompletion(known, completion, inputs)
        : toStep(known);
    case 'fence-answered': {
      if (known.kind !== 'keyed') return toStep(known);
      const { nonce } = completion;
      const result = toFenceResult(completion.result);
      return applyIntent(known, { kind: 'fence-answered', nonce, result }, inputs);
    }
    default:
      return assertNever(completion);
  }
};

const releaseCaller = (known: RequestState, inputs: RequestsInputs): RequestStep => {
  const { requestId } = known.request;
  const logged: EntryEffect = { kind: 'log', name: 'request-cancelled', details: { requestId } };
  switch (known.kind) {
    case 'generation': {
      const step = applyDelivery(known, { kind: 'caller-gone' }, inputs);
      inputs.own.releasePlacement(requestId, inputs.now());
      return { state: null, effects: [logged, ...step.effects] };
    }
    case 'call':
      inputs.own.releasePlacement(requestId, inputs.now());
      return { state: null, effects: [logged] };
    case 'keyed': {
      const step = applyIntent(known, { kind: 'caller-gone' }, inputs);
      return { state: step.state, effects: [logged, ...step.effects] };
    }
    default:
      return assertNever(known);
  }
};

/** Requests that wait for room give up at their deadline; running ones have their own timeouts. */
const expireWaiting = (state: RequestsState, inputs: RequestsInputs): readonly EntryEffect[] => {
  const now = inputs.now();
  const expired = state.queue.filter((requestId) => {
    const known = state.table.get(requestId);
    return known !== undefined && known.deadlineAt <= now && known.waiting === 'in-queue';
  });
  return expired.flatMap((requestId) =>
    updateRequest(state, requestId, (known) => expireRequest(known, inputs)),
  );
};

const expireRequest = (known: RequestState, inputs: RequestsInputs): RequestStep => {
  const text = `no endpoint had room before the deadline: ${known.lastFailureText}`;
  const failure = createFailure('not-run', 'deadline-exceeded', text);
  if (known.kind === 'keyed') {
    return applyIntent(known, { kind: 'endpoint-unavailable', failure }, inputs);
  }
  return failRequest(known, failure, inputs);
};

const handleFolded = (state: RequestsState, inputs: RequestsInputs): readonly EntryEffect[] =>
  [...state.table.values()].flatMap((known) =>
    known.kind === 'keyed'
      ? storeStep(state, known.request.requestId, applyIntent(known, { kind: 'folded' }, inputs))
      : [],
  );

const handleEndpointLost = (
  state: RequestsState,
  event: Extract<RequestsEvent, { readonly kind: 'endpoint-lost' }>,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  const { endpoint, incarnation } = event;
  inputs.own.removeEndpoint(endpoint);
  return [...state.table.values()].flatMap((known) =>
    known.kind === 'generation' && known.place?.endpoint === endpoint
      ? storeStep(
          state,
          known.request.requestId,
          applyDelivery(known, { kind: 'endpoint-gone', endpoint, incarnation }, inputs),
        )
      : [],
  );
};

const transferStreams = (state: RequestsState, inputs: RequestsInputs): readonly EntryEffect[] => {
  state.phase = 'handing-over';
  return [...state.table.values()].flatMap((known) =>
    known.kind === 'generation'
      ? storeStep(
          state,
          known.request.requestId,
          applyDelivery(known, { kind: 'drain-ended' }, inputs),
        )
      : [],
  );
};

const retryRequest = (known: RequestState, inputs: RequestsInputs): RequestStep =>
  known.waiting === 'for-retry' ? placeWaiting({ ...known, waiting: 'no' }, inputs) : toStep(known);

const decideRequests = (
  state: RequestsState,
  event: RequestsEvent,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  switch (event.kind) {
    case 'request-received':
      return receiveRequest(state, event.request, inputs);
    case 'caller-gone':
      return updateRequest(state, event.requestId, (known) => releaseCaller(known, inputs));
    case 'endpoint-completed':
      return updateRequest(state, event.completion.requestId, (known) =>
        applyEndpointCompletion(known, event.completion, inputs),
      );
    case 'resume-due': {
      const { requestId, generationId, link } = event;
      const due = { kind: 'resume-timer', generationId, link, now: inputs.now() } as const;
      return updateRequest(state, requestId, (known) =>
        known.kind === 'generation' ? applyDelivery(known, due, inputs) : toStep(known),
      );
    }
    case 'intent-timer': {
      const { requestId, timer, round } = event;
      return updateRequest(state, requestId, (known) =>
        known.kind === 'keyed'
          ? applyIntent(known, { kind: 'timer', timer, round }, inputs)
          : toStep(known),
      );
    }
    case 'append-ended': {
      const { requestId, of, nonce } = event.owner;
      const ended = { kind: 'append-answered', of, nonce, result: event.result } as const;
      return updateRequest(state, requestId, (known) =>
        known.kind === 'keyed' ? applyIntent(known, ended, inputs) : toStep(known),
      );
    }
    case 'intents-folded':
      return handleFolded(state, inputs);
    case 'retry-due':
      return updateRequest(state, event.requestId, (known) => retryRequest(known, inputs));
    case 'configuration-updated':
      return drainQueue(state, inputs);
    case 'capacity-changed':
      inputs.own.settleReport(event.endpoint, event.reportedAt);
      return drainQueue(state, inputs);
    case 'endpoint-lost':
      return handleEndpointLost(state, event, inputs);
    case 'tick': {
      const again: EntryEffect = { kind: 'schedule', delayMs: TICK_MS, event };
      return [...expireWaiting(state, inputs), ...drainQueue(state, inputs), again];
    }
    case 'drain-ended':
      return transferStreams(state, inputs);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decisions of the `requests` child: one state machine for each request.
 *
 * @param inputs - endpoints, classes, estimates and the intent log
 * @returns the child's logic
 */
export const createRequestsLogic = (
  inputs: RequestsInputs,
): ChildLogic<RequestsState, RequestsEvent, EntryEffect> => ({
  init: () =>
    toStep<RequestsState, EntryEffect>(
      { table: new Map(), queue: [], phase: 'accepting' },
      { kind: 'reset-requests' },
      { kind: 'schedule', delayMs: TICK_MS, event: { to: 'requests', kind: 'tick' } },
    ),
  decide: (state, event) => toStep(state, ...decideRequests(state, event, inputs)),
});
