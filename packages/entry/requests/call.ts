import type { EndpointCompletion } from './endpointMessages.js';
import type { RequestsInputs } from './inputs.js';
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
import { failUnsent, issueSendPermit } from './permits.js';
import { selectPlacement } from './placement.js';
import { createRequestBase } from './requestBase.js';
import { decideNextAttempt, recordRequestSuccess } from './retrying.js';
import type { CallState, ClassPolicy, KeyedState, RequestPlacement } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { SendPermit } from '../../decisions/retries/types.js';
import type { EntryEffect } from '../events.js';
import type { ServiceAnswer, ServiceRequest } from '../types.js';

/** Completions of a call to a plain service. */
export type CallCompletion = Extract<
  EndpointCompletion,
  { readonly kind: 'call-answered' | 'call-failed' }
>;

/**
 * Creates the state of an idempotent call.
 *
 * @param request - request of the caller
 * @param policy - policy of its class
 * @returns the state before the first placement
 */
export const createCall = (request: ServiceRequest, policy: ClassPolicy): CallState => ({
  kind: 'call',
  ...createRequestBase(policy, request),
  request,
});

/**
 * Builds the effects that send a call to an endpoint daemon.
 *
 * @param state - placed request
 * @param request - call of the caller
 * @param placement - chosen endpoint
 * @param nonce - nonce of a call that runs at most once, else null
 * @param permit - permission to send the attempt
 * @returns log and call effects
 */
export const buildCallEffects = (
  state: CallState | KeyedState,
  request: ServiceRequest,
  placement: RequestPlacement,
  nonce: string | null,
  permit: SendPermit,
): readonly EntryEffect[] => {
  const { policy } = state;
  const { attempt } = permit;
  return [
    {
      kind: 'log',
      name: 'attempt-started',
      details: {
        requestId: request.requestId,
        endpoint: placement.endpoint,
        data: { attempt, purpose: permit.purpose, ...(nonce === null ? {} : { nonce }) },
      },
    },
    {
      kind: 'call-endpoint',
      call: {
        url: placement.url,
        requestId: request.requestId,
        permit,
        customer: request.customer,
        className: policy.className,
        importance: policy.importance,
        service: request.service,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        incarnation: placement.incarnation,
        nonce,
        key: state.kind === 'keyed' ? state.key : request.key,
        fingerprint: request.fingerprint,
      },
    },
  ];
};

/**
 * Tries to place an idempotent call and sends it to the chosen endpoint.
 *
 * @param state - call without a placement
 * @param inputs - endpoints and estimates
 * @returns the step; the call waits in the queue when no endpoint has capacity
 */
export const placeCall = (state: CallState, inputs: RequestsInputs): RequestStep => {
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
      const next: CallState = {
        ...state,
        placement: result.placement,
        waiting: 'no',
        attempts: state.attempts + 1,
      };
      return toStep<CallState, EntryEffect>(
        next,
        ...result.effects,
        ...buildCallEffects(next, next.request, result.placement, null, permit.value),
      );
    }
    default:
      return assertNever(result);
  }
};

/**
 * Ends a request with the service's answer.
 *
 * @param state - request
 * @param answer - answer of the service
 * @param inputs - clock, retry budgets and placements of this daemon
 * @returns the step that ends the request
 */
export const sendAnswer = (
  state: CallState | KeyedState,
  answer: ServiceAnswer,
  inputs: RequestsInputs,
): RequestStep => {
  const { requestId, receivedAt } = state.request;
  const now = inputs.now();
  const { className } = state.policy;
  releaseAttempt(state, 'completed', inputs);
  recordRequestSuccess(state, inputs);
  return toStep<CallState | null, EntryEffect>(
    null,
    { kind: 'send-answer', requestId, answer },
    { kind: 'record-latency', name: 'call_ms', className, duration: now - receivedAt },
    logAttemptEnd(state, null),
    {
      kind: 'log',
      name: 'request-finished',
      details: {
        requestId,
        ...(state.placement === null ? {} : { endpoint: state.placement.endpoint }),
        data: { status: answer.status, class: className, durationMs: Math.round(now - receivedAt) },
      },
    },
  );
};

/**
 * Applies the end of an attempt of an idempotent call.
 *
 * @param state - call
 * @param completion - how the attempt ended
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const applyCallCompletion = (
  state: CallState,
  completion: CallCompletion,
  inputs: RequestsInputs,
): RequestStep => {
  if (completion.attempt !== state.attempts || state.waiting !== 'no') return toStep(state);
  switch (completion.kind) {
    case 'call-answered':
      return sendAnswer(state, completion.answer, inputs);
    case 'call-failed': {
      reportCrash(state, completion.failure, inputs);
      releaseAttempt(state, toAttemptOutcome(completion.failure), inputs);
      const ended = logAttemptEnd(state, completion.failure);
      const next = decideNextAttempt(state, completion.failure, inputs);
      if (next.kind === 'give-up') return failRequest(state, next.failure, inputs, [ended]);
      const retrying: CallState = { ...state, ...next.changes, placement: null };
      return toStep<CallState, EntryEffect>(retrying, ended, ...next.effects);
    }
    default:
      return assertNever(completion);
  }
};
