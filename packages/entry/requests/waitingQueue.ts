import { MAX_TRIES_PER_EVENT } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import { getPromptTokens } from './placement.js';
import type { RequestState } from './types.js';
import type { RequestId } from '../../core/ids.js';
import { createQueueState, decideQueue, listHeads } from '../../decisions/fairness/decideQueue.js';
import type {
  QueueEffect,
  QueueEvent,
  QueueSettings,
  WaitingRequest,
} from '../../decisions/fairness/types.js';
import { NO_VERSION } from './constants.js';

/**
 * Queue of requests that wait for an endpoint, with fair queueing between customers. A lane holds
 * the requests of one class for one model or service.
 */
export interface WaitingQueue {
  readonly apply: (event: QueueEvent) => readonly QueueEffect[];
  /**
   * Tries to place the first request of each lane until no lane has one that an endpoint accepts,
   * or until `MAX_TRIES_PER_EVENT` is reached.
   *
   * @param place - tries to place a request; reports whether it left the queue
   */
  readonly placeRequests: (place: (requestId: RequestId) => 'placed' | 'waits') => void;
}

/**
 * Creates an empty queue.
 *
 * @param settings - bounds of the queue
 * @returns the queue
 */
export const createWaitingQueue = (settings: QueueSettings): WaitingQueue => {
  let state = createQueueState(settings);

  const apply = (event: QueueEvent): readonly QueueEffect[] => {
    const step = decideQueue(state, event);
    state = step.state;
    return step.effects;
  };

  const placeRequests: WaitingQueue['placeRequests'] = (place) => {
    const blockedLanes = new Set<string>();
    for (let tries = 0; tries < MAX_TRIES_PER_EVENT; tries += 1) {
      const head = listHeads(state).find((request) => !blockedLanes.has(getLaneKey(request)));
      if (head === undefined) return;
      if (place(head.requestId) === 'placed') apply({ kind: 'dequeue', requestId: head.requestId });
      else blockedLanes.add(getLaneKey(head));
    }
  };

  return { apply, placeRequests };
};

const getLaneKey = (request: WaitingRequest): string => `${request.className}\n${request.resource}`;

const getResource = ({ request }: RequestState): string => {
  if (request.kind === 'generation') return `model ${request.model}`;
  return request.kind === 'service' ? `service ${request.service}` : 'resume';
};

/**
 * Converts a request into the form that the queue stores.
 *
 * @param state - request without a placement
 * @param inputs - clock, length estimates and customer weights
 * @returns the waiting request
 */
export const toWaitingRequest = (state: RequestState, inputs: RequestsInputs): WaitingRequest => {
  const { request, policy } = state;
  const { customer } = request;
  const key = { className: policy.className, customer, version: NO_VERSION };
  const output = request.kind === 'generation' ? inputs.survival.estimateRemaining(key, 0).mean : 1;
  return {
    requestId: request.requestId,
    className: policy.className,
    importance: policy.importance,
    resource: getResource(state),
    customer,
    weight: inputs.getCustomerWeight(customer),
    predictedTokens: getPromptTokens(state) + output,
    enqueuedAt: inputs.now(),
    latestStartAt: state.deadlineAt,
  };
};
