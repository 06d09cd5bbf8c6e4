import {
  enqueueRequest,
  failRequest,
  holdRequest,
  logAttemptEnd,
  releaseAttempt,
  reportCrash,
  toAttemptOutcome,
} from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import type { RequestsInputs } from './inputs.js';
import { buildResumeEffects, buildStartEffect } from './linkEffects.js';
import { measureChunks, reportAnswered, toDeliveryEvent } from './links.js';
import type { LinkCompletion } from './links.js';
import { failUnsent, issueSendPermit } from './permits.js';
import { selectPlacement } from './placement.js';
import { createRequestBase } from './requestBase.js';
import { decideNextAttempt, recordRequestSuccess } from './retrying.js';
import type { ClassPolicy, GenerationState, RequestPlacement } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { GenerationId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { SendPermit } from '../../decisions/retries/types.js';
import { decideDelivery, initDelivery, resumeDelivery } from '../../decisions/streams/delivery.js';
import type {
  DeliveryEffect,
  DeliveryEvent,
  GenerationSource,
} from '../../decisions/streams/types.js';
import type { EntryEffect } from '../events.js';
import type { GenerationRequest, ResumeRequest } from '../types.js';

type GenerationStep = RequestStep;

/**
 * Creates the state of a new generation.
 *
 * @param request - request of the caller
 * @param policy - policy of its class
 * @returns the state before the first placement
 */
export const createGeneration = (
  request: GenerationRequest,
  policy: ClassPolicy,
): GenerationState => ({
  kind: 'generation',
  ...createRequestBase(policy, request),
  request,
  delivery: initDelivery(
    policy.delivery === 'whole' || request.form.kind === 'whole' ? 'whole' : 'incremental',
  ),
  firstChunkAt: null,
  lastChunkAt: null,
});

/**
 * Starts a generation at a chosen endpoint.
 *
 * @param state - generation without a placement
 * @param placement - chosen endpoint
 * @param generationId - new id
 * @param nonce - nonce of a generation that runs at most once, else null
 * @param permit - permission to send the attempt
 * @returns the step that opens the link
 */
export const startGenerationAt = (
  state: GenerationState,
  placement: RequestPlacement,
  generationId: GenerationId,
  nonce: string | null,
  permit: SendPermit,
): Step<GenerationState, EntryEffect> => {
  const { endpoint, incarnation } = placement;
  const source: GenerationSource = { generationId, endpoint, incarnation };
  const step = decideDelivery(state.delivery, { kind: 'attempt-started', source });
  const next: GenerationState = {
    ...state,
    placement,
    waiting: 'no',
    attempts: state.attempts + 1,
    delivery: step.state,
  };
  return toStep<GenerationState, EntryEffect>(
    next,
    {
      kind: 'log',
      name: 'attempt-started',
      details: {
        requestId: state.request.requestId,
        endpoint,
        sent: `${generationId}/0`,
        data: {
          generationId,
          attempt: next.attempts,
          purpose: permit.purpose,
          ...(nonce === null ? {} : { nonce }),
        },
      },
    },
    buildStartEffect(next, placement, generationId, nonce, permit),
  );
};

/**
 * Tries to place a generation and starts it at the chosen endpoint.
 *
 * @param state - generation without a placement
 * @param inputs - endpoints and estimates
 * @returns the step; the request waits in the queue when no endpoint has capacity
 */
export const placeGeneration = (state: GenerationState, inputs: RequestsInputs): GenerationStep => {
  const result = selectPlacement(state, inputs);
  switch (result.kind) {
    case 'wait':
      return enqueueRequest(state, result.reason);
    case 'hold':
      return holdRequest(state, inputs);
    case 'fail':
      return failRequest(state, result.failure, inputs);
    case 'placed': {
      const permit = issueSendPermit(state, state.purpose, inputs);
      if (permit.isErr()) return failUnsent(state, permit.error, inputs);
      const id = inputs.createId();
      const step = startGenerationAt(state, result.placement, id, null, permit.value);
      return toStep<GenerationState, EntryEffect>(step.state, ...result.effects, ...step.effects);
    }
    default:
      return assertNever(result);
  }
};

/**
 * Resumes a stream from a resume ticket.
 *
 * @param request - request of the caller
 * @param policy - policy of its class
 * @param inputs - clock and endpoints
 * @returns the step that resumes the stream, or fails the request with `stream-lost`
 */
export const startResume = (
  request: ResumeRequest,
  policy: ClassPolicy,
  inputs: RequestsInputs,
): GenerationStep => {
  const { generationId, endpoint, incarnation, lastNumber } = request;
  const view = inputs.listEndpoints().find((candidate) => candidate.endpoint === endpoint);
  const url = inputs.findHeartbeat(endpoint)?.rpcUrl;
  const source: GenerationSource = { generationId, endpoint, incarnation };
  const resumed = resumeDelivery(source, lastNumber + 1);
  const state: GenerationState = {
    kind: 'generation',
    ...createRequestBase(policy, request),
    request,
    attempts: 1,
    placement: {
      endpoint,
      incarnation,
      engineStart: '',
      url: url ?? '',
      model: view?.model ?? '',
      version: view?.version ?? '',
      placedAt: inputs.now(),
    },
    verdict: 'may-have-run',
    delivery: resumed.state,
    firstChunkAt: null,
    lastChunkAt: null,
  };
  if (url === undefined || view?.incarnation !== incarnation) {
    const text = `endpoint ${endpoint} of the resume ticket is no longer known or has restarted`;
    return failRequest(state, createFailure('may-have-run', 'stream-lost', text), inputs);
  }
  return applyEffects(state, resumed.effects, inputs);
};

const finishGeneration = (
  state: GenerationState,
  effect: Extract<DeliveryEffect, { readonly kind: 'finish' }>,
  inputs: RequestsInputs,
): GenerationStep => {
  const { request, policy, placement } = state;
  const { requestId } = request;
  releaseAttempt(state, 'completed', inputs);
  recordRequestSuccess(state, inputs);
  if (request.kind === 'generation' && placement !== null) {
    const key = {
      className: policy.className,
      customer: request.customer,
      version: placement.version,
    };
    inputs.survival.observeFinished(key, effect.chunkCount);
  }
  return toStep<GenerationState | null, EntryEffect>(
    null,
    { kind: 'finish-generation', requestId, usage: effect.usage },
    logAttemptEnd(state, null),
    {
      kind: 'log',
      name: 'request-finished',
      details: {
        requestId,
        ...(placement === null ? {} : { endpoint: placement.endpoint }),
        data: {
          chunks: effect.chunkCount,
          class: policy.className,
          durationMs: Math.round(inputs.now() - request.receivedAt),
        },
      },
    },
  );
};

/**
 * Builds the effect that stops reading a generation, which continues at the endpoint daemon.
 *
 * @param state - generation
 * @param source - endpoint that runs it
 * @returns the effect that closes the current link
 */
export const buildCloseLink = (state: GenerationState, source: GenerationSource): EntryEffect => ({
  kind: 'close-link',
  generationId: source.generationId,
  link: state.delivery.link,
});

const restartGeneration = (
  state: GenerationState,
  failure: Failure,
  inputs: RequestsInputs,
): GenerationStep => {
  releaseAttempt(state, toAttemptOutcome(failure), inputs);
  const ended = logAttemptEnd(state, failure);
  const next = decideNextAttempt(state, failure, inputs);
  switch (next.kind) {
    case 'retry': {
      const retrying: GenerationState = {
        ...state,
        ...next.changes,
        placement: null,
        firstChunkAt: null,
        lastChunkAt: null,
      };
      return toStep<GenerationState, EntryEffect>(retrying, ended, ...next.effects);
    }
    case 'give-up': {
      const gaveUp = decideDelivery(state.delivery, {
        kind: 'attempts-ended',
        failure: next.failure,
      });
      const step = applyEffects({ ...state, delivery: gaveUp.state }, gaveUp.effects, inputs);
      return toStep<GenerationState | null, EntryEffect>(
        step.state as GenerationState | null,
        ended,
        ...step.effects,
      );
    }
    default:
      return assertNever(next);
  }
};

/**
 * Applies the delivery's effects in order; once an effect has ended the request, it stays ended.
 */
const applyEffects = (
  state: GenerationState,
  effects: readonly DeliveryEffect[],
  inputs: RequestsInputs,
): GenerationStep => {
  let step: GenerationStep = toStep<GenerationState, EntryEffect>(state);
  for (const effect of effects) {
    const current = step.state ?? state;
    if (current.kind !== 'generation') break;
    const next = applyDeliveryEffect(current, effect, inputs);
    const nextState = step.state === null ? null : next.state;
    step = { state: nextState, effects: [...step.effects, ...next.effects] };
  }
  return step;
};

/**
 * Applies one effect of the delivery.
 *
 * @param state - generation
 * @param effect - effect of its stream
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyDeliveryEffect = (
  state: GenerationState,
  effect: DeliveryEffect,
  inputs: RequestsInputs,
): GenerationStep => {
  const { requestId, customer } = state.request;
  switch (effect.kind) {
    case 'write-chunks':
      return toStep<GenerationState, EntryEffect>(state, {
        kind: 'write-chunks',
        requestId,
        customer,
        model:
          state.request.kind === 'generation'
            ? state.request.model
            : (state.placement?.model ?? ''),
        source: effect.source,
        fromNumber: effect.fromNumber,
        chunks: effect.chunks,
        pace: 'live',
      });
    case 'finish':
      return finishGeneration(state, effect, inputs);
    case 'fail':
      return failRequest(state, effect.failure, inputs);
    case 'resume':
      return toStep<GenerationState, EntryEffect>(
        state,
        ...buildResumeEffects(state, effect, inputs),
      );
    case 'schedule-resume': {
      const { generationId, link, delayMs } = effect;
      const event = { to: 'requests', kind: 'resume-due', requestId, generationId, link } as const;
      return toStep<GenerationState, EntryEffect>(state, { kind: 'schedule', delayMs, event });
    }
    case 'restart-allowed':
      return restartGeneration(state, effect.failure, inputs);
    case 'hand-over':
      return toStep<null, EntryEffect>(null, {
        kind: 'hand-over',
        requestId,
        customer,
        source: effect.source,
        nextNumber: effect.fromNumber,
      });
    case 'detach':
      releaseAttempt(state, 'completed', inputs);
      return toStep<GenerationState, EntryEffect>(state, buildCloseLink(state, effect.source));
    case 'cancel-generation':
      return toStep<GenerationState, EntryEffect>(state, buildCloseLink(state, effect.source), {
        kind: 'cancel-generation',
        url: state.placement?.url ?? '',
        generationId: effect.source.generationId,
        incarnation: effect.source.incarnation,
      });
    default:
      return assertNever(effect);
  }
};

/**
 * Applies one event of the delivery.
 *
 * @param state - generation
 * @param event - event of its stream
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyDelivery = (
  state: GenerationState,
  event: DeliveryEvent,
  inputs: RequestsInputs,
): GenerationStep => {
  const step = decideDelivery(state.delivery, event);
  return applyEffects({ ...state, delivery: step.state }, step.effects, inputs);
};

/**
 * Applies a completion of a link.
 *
 * @param state - generation
 * @param completion - completion received from the endpoint daemon
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyCompletion = (
  state: GenerationState,
  completion: LinkCompletion,
  inputs: RequestsInputs,
): GenerationStep => {
  const isCurrent = state.delivery.source?.generationId === completion.generationId;
  const measured =
    completion.kind === 'chunks-received' && isCurrent
      ? measureChunks(state, completion.choices.length, inputs)
      : { state, effects: [] };
  if (completion.kind === 'chunks-received' && isCurrent) reportAnswered(state, inputs);
  if (completion.kind === 'generation-failed' && isCurrent) {
    reportCrash(state, completion.failure, inputs);
  }
  const event = toDeliveryEvent(state, completion, inputs);
  const step = applyDelivery(measured.state, event, inputs);
  return { state: step.state, effects: [...measured.effects, ...step.effects] };
};
