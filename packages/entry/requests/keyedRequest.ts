import { buildCallEffects, sendAnswer } from './call.js';
import type { CallCompletion } from './call.js';
import { logUnansweredFence, toStoredAnswer } from './fenceResults.js';
import type { RequestsInputs } from './inputs.js';
import {
  applyKeyedDelivery,
  applyKeyedLink,
  replayGeneration,
  startKeyedStream,
} from './keyedStream.js';
import type { StreamStep } from './keyedStream.js';
import type { LinkCompletion } from './links.js';
import {
  enqueueRequest,
  failRequest,
  holdRequest,
  logAttemptEnd,
  releaseAttempt,
  reportCrash,
} from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import { getDispatchPurpose, issueSendPermit } from './permits.js';
import { selectPlacement } from './placement.js';
import { createRequestBase } from './requestBase.js';
import type { ClassPolicy, KeyedState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { DEFAULT_INTENT_LIMITS } from '../../decisions/idempotency/constants.js';
import { createIntentState, decideIntent } from '../../decisions/idempotency/intent.js';
import type {
  DispatchResult,
  IntentEffect,
  IntentEvent,
  IntentView,
} from '../../decisions/idempotency/types.js';
import type { DeliveryEvent } from '../../decisions/streams/types.js';
import type { EntryEffect } from '../events.js';
import type { GenerationRequest, ServiceRequest } from '../types.js';

/**
 * Creates the state of a request that runs at most once.
 *
 * @param request - request of the caller
 * @param policy - policy of its class
 * @param inputs - clock and ids
 * @returns the state before the `start` event
 */
export const createKeyed = (
  request: ServiceRequest | GenerationRequest,
  policy: ClassPolicy,
  inputs: RequestsInputs,
): KeyedState => {
  // Without a key, a retry by the caller cannot be recognised as a duplicate. A generated key still
  // ensures that the attempts of this request run at most once.
  const key = request.key ?? inputs.createId();
  const base = createRequestBase(policy, request);
  return {
    ...base,
    kind: 'keyed',
    request,
    key,
    stream: null,
    caller: 'waiting',
    intent: createIntentState({
      requestId: request.requestId,
      entry: inputs.process,
      customer: request.customer,
      key,
      fingerprint: request.fingerprint,
      issuedAt: request.key === null ? inputs.now() : request.keyIssuedAt,
      deadlineAt: base.deadlineAt,
    }),
  };
};

const toIntentView = (state: KeyedState, inputs: RequestsInputs): IntentView => {
  const { log, standing, nextOffset, keyCounts: counts } = inputs.getIntentLog();
  return {
    now: inputs.now(),
    log,
    standing,
    nextOffset,
    keyCounts: counts,
    chain: inputs.findChain(state.request.customer, state.key),
    keys: inputs.limits,
    limits: DEFAULT_INTENT_LIMITS,
  };
};

/**
 * Tries to find an endpoint for the next intent.
 *
 * @param state - keyed request whose intent is in state `choosing`
 * @param inputs - endpoints and estimates
 * @returns the step; the request waits in the queue when no endpoint has capacity
 */
export const placeKeyed = (state: KeyedState, inputs: RequestsInputs): RequestStep => {
  const result = selectPlacement(state, inputs);
  switch (result.kind) {
    case 'wait':
      return enqueueRequest(state, result.reason);
    case 'hold':
      return holdRequest(state, inputs);
    case 'fail':
      return applyIntent(state, { kind: 'endpoint-unavailable', failure: result.failure }, inputs);
    case 'placed': {
      const { endpoint, incarnation } = result.placement;
      const placed: KeyedState = { ...state, placement: result.placement, waiting: 'no' };
      const nonce = inputs.createId();
      const step = applyIntent(
        placed,
        { kind: 'endpoint-chosen', target: { endpoint, incarnation }, nonce },
        inputs,
      );
      return { state: step.state, effects: [...result.effects, ...step.effects] };
    }
    default:
      return assertNever(result);
  }
};

/** Ends a dispatch that was not sent, so that its nonce is fenced before another one is chosen. */
const refuseDispatch = (
  state: KeyedState,
  nonce: string,
  failure: Failure,
  inputs: RequestsInputs,
): RequestStep => {
  const result = { kind: 'refused', failure } as const;
  return applyIntent(state, { kind: 'dispatch-ended', nonce, result }, inputs);
};

const dispatch = (
  state: KeyedState,
  effect: Extract<IntentEffect, { readonly kind: 'dispatch' }>,
  inputs: RequestsInputs,
): RequestStep => {
  const url = inputs.findHeartbeat(effect.endpoint)?.rpcUrl;
  if (url === undefined || state.placement === null) {
    const failure = createFailure(
      'not-run',
      'no-endpoint',
      'the address of the endpoint is no longer known',
    );
    return refuseDispatch(state, effect.nonce, failure, inputs);
  }
  const permit = issueSendPermit(state, getDispatchPurpose(state), inputs);
  if (permit.isErr()) return refuseDispatch(state, effect.nonce, permit.error, inputs);
  const placement = {
    ...state.placement,
    url,
    endpoint: effect.endpoint,
    incarnation: effect.incarnation,
  };
  const next: KeyedState = { ...state, placement, attempts: state.attempts + 1 };
  const logged: EntryEffect = {
    kind: 'log',
    name: 'intent-active',
    details: { requestId: state.request.requestId, data: { nonce: effect.nonce } },
  };
  const { request } = state;
  switch (request.kind) {
    case 'service': {
      const calls = buildCallEffects(next, request, placement, effect.nonce, permit.value);
      return toStep<KeyedState, EntryEffect>(next, logged, ...calls);
    }
    case 'generation': {
      const step = startKeyedStream(next, request, placement, effect.nonce, permit.value);
      return toStep<KeyedState, EntryEffect>(step.state, logged, ...step.effects);
    }
    default:
      return assertNever(request);
  }
};

const fence = (
  state: KeyedState,
  effect: Extract<IntentEffect, { readonly kind: 'fence' }>,
  inputs: RequestsInputs,
): RequestStep => {
  const { endpoint, incarnation, nonce } = effect;
  const { requestId } = state.request;
  const url = inputs.findHeartbeat(endpoint)?.rpcUrl;
  if (url === undefined) {
    const result = { kind: 'unreachable' } as const;
    const step = applyIntent(state, { kind: 'fence-answered', nonce, result }, inputs);
    const logged = logUnansweredFence(state, nonce, 'the address of the endpoint is not known');
    return { state: step.state, effects: [logged, ...step.effects] };
  }
  return toStep<KeyedState, EntryEffect>(state, {
    kind: 'fence-nonce',
    fence: { url, requestId, nonce, incarnation },
  });
};

const failWithDigest = (
  state: KeyedState,
  effect: Extract<IntentEffect, { readonly kind: 'answer-digest' }>,
  inputs: RequestsInputs,
): RequestStep => {
  const status = effect.status?.toString() ?? 'unknown';
  const text = `the request already ran with status ${status}; its answer is no longer stored (digest ${effect.bodyDigest ?? 'unknown'})`;
  return failRequest(state, createFailure('ran', 'key-unresolved', text), inputs);
};

const appendRecords = (
  state: KeyedState,
  effect: Extract<IntentEffect, { readonly kind: 'append-records' }>,
): RequestStep => {
  const { requestId } = state.request;
  const appends = effect.records.map((record): EntryEffect => ({
    kind: 'post',
    event: {
      to: 'appends',
      kind: 'append-requested',
      stream: 'intents',
      record,
      owner: { kind: 'intent', requestId, recordKind: record.kind, nonce: record.nonce },
    },
  }));
  const logged = effect.records.map((record): EntryEffect => ({
    kind: 'log',
    name: record.kind === 'intent' ? 'intent-appended' : 'outcome-appended',
    details: { requestId, data: { nonce: record.nonce, record: record.kind } },
  }));
  return toStep<KeyedState, EntryEffect>(state, ...logged, ...appends);
};

const replyToCaller = (
  state: KeyedState,
  effect: Extract<IntentEffect, { readonly kind: 'answer' }>,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  const { request } = state;
  const { requestId } = request;
  const replayed: EntryEffect = { kind: 'log', name: 'key-replayed', details: { requestId } };
  const { status, headers, body } = effect.answer;
  const effects =
    request.kind === 'generation'
      ? replayGeneration(state, request, effect.answer, effect.placement, inputs)
      : sendAnswer(state, { status, headers, body }, inputs).effects;
  return effect.source === 'stored' ? [replayed, ...effects] : effects;
};

const applyIntentEffect = (
  state: KeyedState,
  effect: IntentEffect,
  inputs: RequestsInputs,
): RequestStep => {
  const { requestId } = state.request;
  const isServed = state.caller === 'served';
  const served: KeyedState = { ...state, caller: 'served' };
  switch (effect.kind) {
    case 'choose-endpoint': {
      releaseAttempt(state, 'refused', inputs);
      const excluded = new Set([...state.excluded, ...effect.exclude]);
      return placeKeyed({ ...state, placement: null, excluded }, inputs);
    }
    case 'append-records':
      return appendRecords(state, effect);
    case 'read-stream':
      return toStep<KeyedState, EntryEffect>(state, {
        kind: 'post',
        event: { to: 'intents', kind: 'read-due' },
      });
    case 'dispatch':
      return dispatch(state, effect, inputs);
    case 'fence':
      return fence(state, effect, inputs);
    // The outcome record is not appended yet, so the request stays in the table without its caller.
    case 'answer':
      return { state: served, effects: isServed ? [] : replyToCaller(state, effect, inputs) };
    case 'answer-digest':
      return {
        state: served,
        effects: isServed ? [] : failWithDigest(state, effect, inputs).effects,
      };
    case 'fail':
      return {
        state: served,
        effects: isServed ? [] : failRequest(state, effect.failure, inputs).effects,
      };
    case 'schedule': {
      const { timer, round, delayMs } = effect;
      const event = { to: 'requests', kind: 'intent-timer', requestId, timer, round } as const;
      return toStep<KeyedState, EntryEffect>(state, { kind: 'schedule', delayMs, event });
    }
    default:
      return assertNever(effect);
  }
};

/**
 * Applies one event to the intent of a keyed request.
 *
 * @param state - keyed request
 * @param event - event of its intent
 * @param inputs - endpoints, estimates and the key's chain
 * @returns the step of the request
 */
export const applyIntent = (
  state: KeyedState,
  event: IntentEvent,
  inputs: RequestsInputs,
): RequestStep => {
  const step = decideIntent(state.intent, event, toIntentView(state, inputs));
  let current: KeyedState = { ...state, intent: step.state };
  const effects: EntryEffect[] = [];
  for (const effect of step.effects) {
    const next = applyIntentEffect(current, effect, inputs);
    effects.push(...next.effects);
    if (next.state?.kind === 'keyed') current = next.state;
  }
  return { state: current.intent.kind === 'finished' ? null : current, effects };
};

const toDispatchResult = (completion: CallCompletion): DispatchResult => {
  switch (completion.kind) {
    case 'call-answered':
      return { kind: 'answered', answer: toStoredAnswer(completion.answer) };
    case 'call-failed': {
      const { failure } = completion;
      return { kind: failure.verdict === 'not-run' ? 'refused' : 'unknown', failure };
    }
    default:
      return assertNever(completion);
  }
};

/**
 * Applies the end of a dispatch.
 *
 * @param state - keyed request
 * @param completion - how the dispatch ended
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyKeyedCompletion = (
  state: KeyedState,
  completion: CallCompletion,
  inputs: RequestsInputs,
): RequestStep => {
  const { intent } = state;
  if (intent.kind !== 'dispatched' || completion.attempt !== state.attempts) return toStep(state);
  const { nonce } = intent.placement;
  const result = toDispatchResult(completion);
  if (completion.kind === 'call-failed') reportCrash(state, completion.failure, inputs);
  const ended = completion.kind === 'call-failed' ? [logAttemptEnd(state, completion.failure)] : [];
  const step = applyIntent(state, { kind: 'dispatch-ended', nonce, result }, inputs);
  return { state: step.state, effects: [...ended, ...step.effects] };
};

const applyStreamStep = (
  state: KeyedState,
  step: StreamStep,
  inputs: RequestsInputs,
): RequestStep => {
  const { intent } = state;
  if (step.ended === null || intent.kind !== 'dispatched') return step;
  const { nonce } = intent.placement;
  const ended = { kind: 'dispatch-ended', nonce, result: step.ended } as const;
  const next = applyIntent(step.state, ended, inputs);
  return { state: next.state, effects: [...step.effects, ...next.effects] };
};

/**
 * Applies a completion of the link to a generation that runs at most once.
 *
 * @param state - keyed request
 * @param completion - completion received from the endpoint daemon
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyKeyedLinkCompletion = (
  state: KeyedState,
  completion: LinkCompletion,
  inputs: RequestsInputs,
): RequestStep => applyStreamStep(state, applyKeyedLink(state, completion, inputs), inputs);

/**
 * Applies an event of the stream that does not come from its link, to a generation that runs at
 * most once.
 *
 * @param state - keyed request
 * @param event - event of its stream
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyKeyedStreamEvent = (
  state: KeyedState,
  event: DeliveryEvent,
  inputs: RequestsInputs,
): RequestStep => applyStreamStep(state, applyKeyedDelivery(state, event, inputs), inputs);
