import { applyCallCompletion, createCall, placeCall } from './call.js';
import { findClass } from './classes.js';
import { TICK_MS } from './constants.js';
import type { EndpointCompletion } from './endpointMessages.js';
import {
  applyCompletion,
  applyDelivery,
  createGeneration,
  placeGeneration,
  startResume,
} from './generation.js';
import { logUnansweredFence, toFenceResult } from './fenceResults.js';
import type { RequestsInputs } from './inputs.js';
import {
  applyIntent,
  applyKeyedCompletion,
  applyKeyedLinkCompletion,
  applyKeyedStreamEvent,
  createKeyed,
} from './keyedRequest.js';
import { releaseAttempt } from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import {
  placeWaitingRequests,
  handleQueueEffects,
  placeRequest,
  storeStep,
  updateAll,
  updateRequest,
} from './requestTable.js';
import type { RequestsContext } from './requestTable.js';
import { handleSuspicions } from './suspicionEffects.js';
import type { ClassPolicy, KeyedState, RequestState, RequestsState } from './types.js';
import { createWaitingQueue } from './waitingQueue.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { DEFAULT_QUEUE_SETTINGS } from '../../decisions/fairness/constants.js';
import type { DeliveryEvent } from '../../decisions/streams/types.js';
import { toResumeRefusal } from '../../decisions/streams/verdicts.js';
import type { EntryEffect, RequestsEvent } from '../events.js';
import type { CallerRequest } from '../types.js';

type Effects = readonly EntryEffect[];

const refuseArrival = (request: CallerRequest, refusal: Failure): Effects => {
  const { requestId } = request;
  const failure = request.kind === 'resume' ? toResumeRefusal(refusal) : refusal;
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
  request: CallerRequest,
  { state, inputs }: RequestsContext,
): Failure | null => {
  if (state.table.size >= inputs.limits.maxRequests) {
    return createFailure('not-run', 'shed', 'too many requests are in progress', 1_000);
  }
  if (request.kind === 'generation' && !inputs.models.includes(request.model)) {
    return createFailure(
      'not-run',
      'unknown-model',
      `body: field "model": no model is called ${request.model}`,
    );
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
      // Without a key, a retry by the caller cannot be recognised as a duplicate. An attempt that
      // may have run is never retried here either, so an intent would add no protection.
      return policy.repeat === 'never' && request.key !== null
        ? applyIntent(createKeyed(request, policy, inputs), { kind: 'start' }, inputs)
        : placeGeneration(createGeneration(request, policy), inputs);
    case 'resume':
      return startResume(request, policy, inputs);
    case 'service':
      return request.repeat === 'never' || policy.repeat === 'never'
        ? applyIntent(createKeyed(request, policy, inputs), { kind: 'start' }, inputs)
        : placeCall(createCall(request, policy), inputs);
    default:
      return assertNever(request);
  }
};

const receiveRequest = (request: CallerRequest, context: RequestsContext): Effects => {
  const { inputs } = context;
  const refusal = checkArrival(request, context);
  if (refusal !== null) return refuseArrival(request, refusal);
  const customerDefault = inputs.getDefaultClass(request.customer);
  const found = findClass(request, customerDefault, inputs.getClasses());
  if (found.kind === 'unknown') {
    const text = `X-Chestnutspan-Class: no class is called ${found.className}`;
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
  return [received, ...storeStep(context, requestId, step)];
};

const applyFenceAnswer = (
  state: KeyedState,
  { nonce, result }: Extract<EndpointCompletion, { readonly kind: 'fence-answered' }>,
  inputs: RequestsInputs,
): RequestStep => {
  const event = { kind: 'fence-answered', nonce, result: toFenceResult(result) } as const;
  const step = applyIntent(state, event, inputs);
  if (result.kind !== 'unreachable') return step;
  const logged = logUnansweredFence(state, nonce, result.reason);
  return { state: step.state, effects: [logged, ...step.effects] };
};

const applyEndpointCompletion = (
  state: RequestState,
  completion: EndpointCompletion,
  inputs: RequestsInputs,
): RequestStep => {
  switch (completion.kind) {
    case 'link-opened':
    case 'chunks-received':
    case 'generation-finished':
    case 'generation-failed':
    case 'link-lost':
      if (state.kind === 'generation') return applyCompletion(state, completion, inputs);
      return state.kind === 'keyed'
        ? applyKeyedLinkCompletion(state, completion, inputs)
        : toStep(state);
    case 'call-answered':
    case 'call-failed':
      if (state.kind === 'call') return applyCallCompletion(state, completion, inputs);
      return state.kind === 'keyed'
        ? applyKeyedCompletion(state, completion, inputs)
        : toStep(state);
    case 'fence-answered': {
      if (state.kind !== 'keyed') return toStep(state);
      return applyFenceAnswer(state, completion, inputs);
    }
    default:
      return assertNever(completion);
  }
};

const handleCallerGone = (state: RequestState, inputs: RequestsInputs): RequestStep => {
  const { requestId } = state.request;
  const logged: EntryEffect = { kind: 'log', name: 'request-cancelled', details: { requestId } };
  inputs.suspicions.apply({ kind: 'abandoned', requestId });
  switch (state.kind) {
    case 'generation': {
      const step = applyDelivery(state, { kind: 'caller-disconnected' }, inputs);
      releaseAttempt(state, 'refused', inputs);
      return { state: null, effects: [logged, ...step.effects] };
    }
    case 'call':
      releaseAttempt(state, 'refused', inputs);
      return { state: null, effects: [logged] };
    case 'keyed': {
      const step = applyIntent(state, { kind: 'caller-disconnected' }, inputs);
      return { state: step.state, effects: [logged, ...step.effects] };
    }
    default:
      return assertNever(state);
  }
};

const handleEndpointLost = (
  event: Extract<RequestsEvent, { readonly kind: 'endpoint-lost' }>,
  context: RequestsContext,
): Effects => {
  const { inputs } = context;
  const { endpoint, incarnation, engineStart } = event;
  inputs.placements.removeEndpoint(endpoint);
  inputs.suspicions.apply({
    kind: 'endpoint-lost',
    cause: 'lost',
    endpoint,
    incarnation: engineStart,
    reported: [],
    now: inputs.now(),
  });
  return updateAll(context, (state) =>
    state.placement?.endpoint === endpoint
      ? applyStreamEvent(state, { kind: 'endpoint-gone', endpoint, incarnation }, inputs)
      : null,
  );
};

/** Applies an event to the stream of a request; returns null for a request without a stream. */
const applyStreamEvent = (
  state: RequestState,
  event: DeliveryEvent,
  inputs: RequestsInputs,
): RequestStep | null => {
  switch (state.kind) {
    case 'generation':
      return applyDelivery(state, event, inputs);
    case 'keyed':
      return state.stream === null ? null : applyKeyedStreamEvent(state, event, inputs);
    case 'call':
      return null;
    default:
      return assertNever(state);
  }
};

/** Hands over the running streams: their callers resume them at other entry daemons. */
const drainStreams = (context: RequestsContext): Effects => {
  context.state.phase = 'handing-over';
  return updateAll(context, (state) =>
    applyStreamEvent(state, { kind: 'drain-ended' }, context.inputs),
  );
};

const retryRequest = (state: RequestState, inputs: RequestsInputs): RequestStep =>
  state.waiting === 'for-retry' ? placeRequest({ ...state, waiting: 'no' }, inputs) : toStep(state);

const handleConfiguration = (context: RequestsContext): Effects => {
  const { inputs } = context;
  const now = inputs.now();
  for (const [fingerprint, expiresAt] of inputs.getQuarantined()) {
    inputs.suspicions.apply({ kind: 'quarantine-record', fingerprint, expiresAt, now });
  }
  return placeWaitingRequests(context);
};

const handleTick = (event: RequestsEvent, context: RequestsContext): Effects => {
  const now = context.inputs.now();
  context.inputs.suspicions.apply({ kind: 'tick', now });
  const expired = handleQueueEffects(context, context.state.queue.apply({ kind: 'tick', now }));
  return [
    ...expired,
    ...placeWaitingRequests(context),
    { kind: 'schedule', delayMs: TICK_MS, event },
  ];
};

const decideRequests = (event: RequestsEvent, context: RequestsContext): Effects => {
  const { inputs } = context;
  switch (event.kind) {
    case 'request-received':
      return receiveRequest(event.request, context);
    case 'caller-disconnected':
      return updateRequest(context, event.requestId, (state) => handleCallerGone(state, inputs));
    case 'endpoint-completed':
      return updateRequest(context, event.completion.requestId, (state) =>
        applyEndpointCompletion(state, event.completion, inputs),
      );
    case 'resume-due': {
      const { requestId, generationId, link } = event;
      const timerEvent = { kind: 'resume-timer', generationId, link, now: inputs.now() } as const;
      return updateRequest(
        context,
        requestId,
        (state) => applyStreamEvent(state, timerEvent, inputs) ?? toStep(state),
      );
    }
    case 'intent-timer': {
      const { requestId, timer, round } = event;
      return updateRequest(context, requestId, (state) =>
        state.kind === 'keyed'
          ? applyIntent(state, { kind: 'timer', timer, round }, inputs)
          : toStep(state),
      );
    }
    case 'append-ended': {
      const { requestId, recordKind: of, nonce } = event.owner;
      const ended = { kind: 'append-answered', of, nonce, result: event.result } as const;
      return updateRequest(context, requestId, (state) =>
        state.kind === 'keyed' ? applyIntent(state, ended, inputs) : toStep(state),
      );
    }
    case 'intents-folded':
      return updateAll(context, (state) =>
        state.kind === 'keyed' ? applyIntent(state, { kind: 'folded' }, inputs) : null,
      );
    case 'retry-due':
      return updateRequest(context, event.requestId, (state) => retryRequest(state, inputs));
    case 'configuration-updated':
      return handleConfiguration(context);
    case 'capacity-changed':
      inputs.placements.applyLoadReport(event.endpoint, event.reportedAt);
      return placeWaitingRequests(context);
    case 'endpoint-lost':
      return handleEndpointLost(event, context);
    case 'tick':
      return handleTick(event, context);
    case 'drain-ended':
      return drainStreams(context);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `requests` child, which runs one state machine per request.
 *
 * @param inputs - endpoints, classes, estimates and the intent log
 * @returns the child's logic
 */
export const createRequestsLogic = (
  inputs: RequestsInputs,
): ChildLogic<RequestsState, RequestsEvent, EntryEffect> => ({
  init: () => {
    const queue = createWaitingQueue({
      ...DEFAULT_QUEUE_SETTINGS,
      maxWaitingPerClass: inputs.limits.queueCapacity,
    });
    return toStep<RequestsState, EntryEffect>(
      { table: new Map(), queue, phase: 'accepting' },
      { kind: 'reset-requests' },
      { kind: 'schedule', delayMs: TICK_MS, event: { to: 'requests', kind: 'tick' } },
    );
  },
  decide: (state, event) => {
    const context = { state, inputs };
    const effects = decideRequests(event, context);
    return toStep(state, ...effects, ...handleSuspicions(context));
  },
});
