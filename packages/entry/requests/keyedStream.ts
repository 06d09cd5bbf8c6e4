import {
  applyDeliveryEffect,
  buildCloseLink,
  createGeneration,
  startGenerationAt,
} from './generation.js';
import type { RequestsInputs } from './inputs.js';
import { measureChunks, reportAnswered, toDeliveryEvent } from './links.js';
import type { LinkCompletion } from './links.js';
import {
  failRequest,
  logAttemptEnd,
  releaseAttempt,
  reportCrash,
  toAttemptOutcome,
} from './outcomes.js';
import type { GenerationState, KeyedState, RequestPlacement } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type {
  DispatchResult,
  NoncePlacement,
  StoredAnswer,
} from '../../decisions/idempotency/types.js';
import type { SendPermit } from '../../decisions/retries/types.js';
import { decideDelivery } from '../../decisions/streams/delivery.js';
import type { DeliveryEffect, DeliveryEvent } from '../../decisions/streams/types.js';
import { decodeStoredGeneration } from '../../wire/storedGeneration.js';
import type { EntryEffect } from '../events.js';
import type { GenerationRequest } from '../types.js';

/** Step of the stream of a generation that runs at most once. */
export interface StreamStep extends Step<KeyedState, EntryEffect> {
  /** Result of the dispatch; null while the stream continues. */
  readonly ended: DispatchResult | null;
}

const STATUS_OK = 200;

/**
 * Starts the generation of a dispatched nonce; the nonce is also the id of the generation.
 *
 * @param state - keyed request
 * @param request - its generation
 * @param placement - endpoint of the intent
 * @param nonce - nonce that was read back from the log as active
 * @param permit - permission to send the attempt
 * @returns the step that opens the link
 */
export const startKeyedStream = (
  state: KeyedState,
  request: GenerationRequest,
  placement: RequestPlacement,
  nonce: string,
  permit: SendPermit,
): Step<KeyedState, EntryEffect> => {
  const { policy, deadlineAt, attempts } = state;
  const fresh = createGeneration(request, policy);
  // `startGenerationAt` counts the attempt, which the dispatch has already counted.
  const generation = { ...fresh, deadlineAt, attempts: attempts - 1 };
  const step = startGenerationAt(generation, placement, nonce, nonce, permit);
  return toStep({ ...state, stream: step.state }, ...step.effects);
};

const toFailedResult = (failure: Failure): DispatchResult => ({
  kind: failure.verdict === 'not-run' ? 'refused' : 'unknown',
  failure,
});

const toAnsweredResult = (digest: string): DispatchResult => ({
  kind: 'answered',
  // The answer was written to the caller chunk by chunk; only its digest is recorded.
  answer: { status: STATUS_OK, headers: [], body: new Uint8Array(), bodyDigest: digest },
});

const HANDED_OVER_FAILURE = createFailure(
  'may-have-run',
  'stream-lost',
  'the stream was handed over to another entry daemon',
);

interface EffectStep {
  readonly effects: readonly EntryEffect[];
  readonly ended?: DispatchResult;
  readonly caller?: KeyedState['caller'];
}

/** Applies an effect of the stream, but never starts a second attempt or cancels the generation. */
const applyEffect = (
  stream: GenerationState,
  effect: DeliveryEffect,
  digest: string,
  inputs: RequestsInputs,
): EffectStep => {
  switch (effect.kind) {
    case 'write-chunks':
    case 'resume':
    case 'schedule-resume':
    case 'detach':
      return { effects: applyDeliveryEffect(stream, effect, inputs).effects };
    case 'finish': {
      const { effects } = applyDeliveryEffect(stream, effect, inputs);
      return { effects, ended: toAnsweredResult(digest), caller: 'served' };
    }
    case 'fail': {
      const { effects } = failRequest(stream, effect.failure, inputs);
      return { effects, ended: toFailedResult(effect.failure), caller: 'served' };
    }
    case 'hand-over': {
      releaseAttempt(stream, 'completed', inputs);
      const { effects } = applyDeliveryEffect(stream, effect, inputs);
      return { effects, ended: toFailedResult(HANDED_OVER_FAILURE), caller: 'served' };
    }
    case 'restart-allowed': {
      const { failure } = effect;
      releaseAttempt(stream, toAttemptOutcome(failure), inputs);
      return { effects: [logAttemptEnd(stream, failure)], ended: toFailedResult(failure) };
    }
    // The generation continues, since its caller may retry with the same key to get the answer.
    case 'cancel-generation':
      return { effects: [buildCloseLink(stream, effect.source)] };
    default:
      return assertNever(effect);
  }
};

const applyEvent = (
  state: KeyedState,
  stream: GenerationState,
  event: DeliveryEvent,
  digest: string,
  inputs: RequestsInputs,
): StreamStep => {
  const step = decideDelivery(stream.delivery, event);
  const next: GenerationState = { ...stream, delivery: step.state };
  let ended: DispatchResult | null = null;
  let { caller } = state;
  const effects: EntryEffect[] = [];
  for (const effect of step.effects) {
    const effectStep = applyEffect(next, effect, digest, inputs);
    effects.push(...effectStep.effects);
    ended = effectStep.ended ?? ended;
    caller = effectStep.caller ?? caller;
  }
  return { state: { ...state, caller, stream: ended === null ? next : null }, effects, ended };
};

/**
 * Applies an event of the stream that does not come from its link.
 *
 * @param state - keyed request
 * @param event - event of its stream
 * @param inputs - endpoints and estimates
 * @returns the step, with the end of the dispatch if there is one
 */
export const applyKeyedDelivery = (
  state: KeyedState,
  event: DeliveryEvent,
  inputs: RequestsInputs,
): StreamStep =>
  state.stream === null
    ? { state, effects: [], ended: null }
    : applyEvent(state, state.stream, event, '', inputs);

/**
 * Applies a completion of the stream's link.
 *
 * @param state - keyed request
 * @param completion - completion received from the endpoint daemon
 * @param inputs - endpoints and estimates
 * @returns the step, with the end of the dispatch if there is one
 */
export const applyKeyedLink = (
  state: KeyedState,
  completion: LinkCompletion,
  inputs: RequestsInputs,
): StreamStep => {
  const { stream } = state;
  if (stream?.delivery.source?.generationId !== completion.generationId) {
    return { state, effects: [], ended: null };
  }
  const measured =
    completion.kind === 'chunks-received'
      ? measureChunks(stream, completion.choices.length, inputs)
      : { state: stream, effects: [] };
  if (completion.kind === 'chunks-received') reportAnswered(stream, inputs);
  if (completion.kind === 'generation-failed') reportCrash(stream, completion.failure, inputs);
  const digest = completion.kind === 'generation-finished' ? completion.digest : '';
  const event = toDeliveryEvent(stream, completion, inputs);
  const step = applyEvent(state, measured.state, event, digest, inputs);
  return { ...step, effects: [...measured.effects, ...step.effects] };
};

/**
 * Builds the effects that replay the stored answer of an earlier request with the same key, in the
 * form that this request specifies.
 *
 * @param state - keyed request whose caller waits for the answer
 * @param request - its generation
 * @param answer - answer as the endpoint daemon stored it
 * @param placement - nonce and endpoint of the generation
 * @param inputs - placements of this daemon and suspicions
 * @returns effects that answer the caller
 */
export const replayGeneration = (
  state: KeyedState,
  request: GenerationRequest,
  answer: StoredAnswer,
  placement: NoncePlacement,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  const { requestId, customer, model } = request;
  const decoded = decodeStoredGeneration(answer.body);
  if (decoded.isErr()) return failRequest(state, decoded.error, inputs).effects;
  const stored = decoded.value;
  switch (stored.kind) {
    case 'failed':
      return failRequest(state, stored.failure, inputs).effects;
    case 'finished': {
      const { nonce, endpoint, incarnation } = placement;
      releaseAttempt(state, 'completed', inputs);
      return [
        {
          kind: 'write-chunks',
          requestId,
          customer,
          model,
          source: { generationId: nonce, endpoint, incarnation },
          fromNumber: 0,
          chunks: stored.choices,
          pace: 'stored',
        },
        { kind: 'finish-generation', requestId, usage: stored.usage },
        {
          kind: 'log',
          name: 'request-finished',
          details: {
            requestId,
            endpoint,
            data: { chunks: stored.choices.length, class: state.policy.className },
          },
        },
      ];
    }
    default:
      return assertNever(stored);
  }
};
