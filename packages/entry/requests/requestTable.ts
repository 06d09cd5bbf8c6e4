import { placeCall } from './call.js';
import { placeGeneration } from './generation.js';
import type { RequestsInputs } from './inputs.js';
import { applyIntent, placeKeyed } from './keyedRequest.js';
import { failRequest } from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import type { RequestState, RequestsState } from './types.js';
import { toWaitingRequest } from './waitingQueue.js';
import { assertNever } from '../../core/assertNever.js';
import type { RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { QueueEffect } from '../../decisions/fairness/types.js';
import type { EntryEffect } from '../events.js';

/** State of the `requests` child, and its dependencies on the rest of the daemon. */
export interface RequestsContext {
  readonly state: RequestsState;
  readonly inputs: RequestsInputs;
}

type Effects = readonly EntryEffect[];

/**
 * Tries to place a request that has no placement.
 *
 * @param state - request
 * @param inputs - endpoints and estimates
 * @returns the step of the request
 */
export const placeRequest = (state: RequestState, inputs: RequestsInputs): RequestStep => {
  switch (state.kind) {
    case 'generation':
      return placeGeneration(state, inputs);
    case 'call':
      return placeCall(state, inputs);
    case 'keyed':
      return placeKeyed(state, inputs);
    default:
      return assertNever(state);
  }
};

const storeState = ({ state }: RequestsContext, requestId: RequestId, step: RequestStep): void => {
  if (step.state === null) state.table.delete(requestId);
  else state.table.set(requestId, step.state);
};

const enqueue = (context: RequestsContext, state: RequestState): Effects => {
  const { requestId } = state.request;
  const queued: EntryEffect = {
    kind: 'log',
    name: 'request-queued',
    details: { requestId, data: { reason: state.lastFailureReason } },
  };
  const waiting = toWaitingRequest(state, context.inputs);
  const effects = context.state.queue.apply({ kind: 'enqueue', request: waiting });
  return [queued, ...handleQueueEffects(context, effects)];
};

/**
 * Stores the next state of a request in the table, and adds the request to the queue or removes it
 * from there as that state says.
 *
 * @param context - table and queue
 * @param requestId - request
 * @param step - step that was decided for it
 * @returns effects of the step and of the queue
 */
export const storeStep = (
  context: RequestsContext,
  requestId: RequestId,
  step: RequestStep,
): Effects => {
  const { state } = context;
  const wasQueued = state.table.get(requestId)?.waiting === 'in-queue';
  const isQueued = step.state?.waiting === 'in-queue';
  storeState(context, requestId, step);
  if (wasQueued && !isQueued) state.queue.apply({ kind: 'cancel', requestId });
  if (step.state === null || wasQueued || !isQueued) return step.effects;
  return [...step.effects, ...enqueue(context, step.state)];
};

/**
 * Applies a decision to a request and stores the result. A request that is not in the table has
 * ended and is ignored.
 *
 * @param context - table and queue
 * @param requestId - request
 * @param decide - decides the step of the request
 * @returns the effects
 */
export const updateRequest = (
  context: RequestsContext,
  requestId: RequestId,
  decide: (state: RequestState) => RequestStep,
): Effects => {
  const state = context.state.table.get(requestId);
  return state === undefined ? [] : storeStep(context, requestId, decide(state));
};

/**
 * Applies a decision to every request.
 *
 * @param context - table and queue
 * @param decide - decides the step of one request; null leaves the request unchanged
 * @returns the effects
 */
export const updateAll = (
  context: RequestsContext,
  decide: (state: RequestState) => RequestStep | null,
): Effects =>
  [...context.state.table.values()].flatMap((state) => {
    const step = decide(state);
    return step === null ? [] : storeStep(context, state.request.requestId, step);
  });

const refuseWaiting = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): RequestStep => {
  const detailedMessage = `${failure.message}: ${state.lastFailureReason}`;
  const detailedFailure =
    state.lastFailureReason === '' ? failure : { ...failure, message: detailedMessage };
  return state.kind === 'keyed'
    ? applyIntent(state, { kind: 'endpoint-unavailable', failure: detailedFailure }, inputs)
    : failRequest(state, detailedFailure, inputs);
};

/**
 * Refuses requests that the bounded queue dropped: shed under overload, or past their deadline.
 *
 * @param context - table and queue
 * @param effects - effects of the queue
 * @returns effects for the callers
 */
export const handleQueueEffects = (
  context: RequestsContext,
  effects: readonly QueueEffect[],
): Effects =>
  effects.flatMap((effect) => {
    if (effect.kind !== 'refuse') return [];
    const { requestId, failure } = effect;
    return updateRequest(context, requestId, (state) =>
      refuseWaiting(state, failure, context.inputs),
    );
  });

/**
 * Tries to place the waiting requests, in the fair order of the queue.
 *
 * @param context - table and queue
 * @returns the effects
 */
export const placeWaitingRequests = (context: RequestsContext): Effects => {
  const { state, inputs } = context;
  const effects: EntryEffect[] = [];
  state.queue.placeRequests((requestId) => {
    const queued = state.table.get(requestId);
    if (queued?.waiting !== 'in-queue') return 'placed';
    const step = placeRequest({ ...queued, waiting: 'no' }, inputs);
    if (step.state?.waiting === 'in-queue') return 'waits';
    storeState(context, requestId, step);
    effects.push(...step.effects);
    return 'placed';
  });
  return effects;
};
