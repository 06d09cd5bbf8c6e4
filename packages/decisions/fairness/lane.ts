import type { CustomerQueue, Lane, WaitingRequest } from './types.js';
import type { CustomerId, RequestId } from '../../core/ids.js';

/** Creates the empty lane for a request's class and resource. */
export const createLane = (request: WaitingRequest): Lane => ({
  className: request.className,
  importance: request.importance,
  resource: request.resource,
  virtualTime: 0,
  count: 0,
  customers: new Map(),
});

/**
 * Formats the key of a request's lane.
 *
 * @param request - request with its class and resource
 * @returns key in `QueueState.lanes`
 */
export const formatLaneKey = (request: WaitingRequest): string =>
  `${request.className}\u0000${request.resource}`;

/** Stores a customer's queue; an empty one only while its start tag is ahead of virtual time. */
const applyQueue = (lane: Lane, queue: CustomerQueue): Lane => {
  const customers = new Map(lane.customers);
  const before = customers.get(queue.customer)?.waiting.length ?? 0;
  const count = lane.count + queue.waiting.length - before;
  if (queue.waiting.length > 0 || queue.startTag > lane.virtualTime) {
    customers.set(queue.customer, queue);
  } else {
    customers.delete(queue.customer);
  }
  return { ...lane, customers, count };
};

/** Removes the empty queues that virtual time has caught up with. */
const pruneQueues = (lane: Lane): Lane => {
  const customers = new Map<CustomerId, CustomerQueue>();
  for (const [customer, queue] of lane.customers) {
    if (queue.waiting.length > 0 || queue.startTag > lane.virtualTime) {
      customers.set(customer, queue);
    }
  }
  return { ...lane, customers };
};

/**
 * Adds a request at the end of its customer's queue. A customer that was idle starts at the current
 * virtual time, so it neither accumulates credit while idle nor pays for the backlog of others.
 *
 * @param lane - lane of the request
 * @param request - new request
 * @returns the lane with the request added
 */
export const addToLane = (lane: Lane, request: WaitingRequest): Lane => {
  const known = lane.customers.get(request.customer);
  const startTag =
    known === undefined || known.waiting.length === 0
      ? Math.max(lane.virtualTime, known?.startTag ?? 0)
      : known.startTag;
  const waiting = [...(known?.waiting ?? []), request];
  return applyQueue(lane, {
    customer: request.customer,
    weight: request.weight,
    startTag,
    waiting,
  });
};

/**
 * Finds the request that start-time fair queueing serves next.
 *
 * @param lane - lane to search
 * @returns first request of the customer with the smallest start tag, the older request at a tie;
 * undefined when the lane is empty
 */
export const findHead = (lane: Lane): WaitingRequest | undefined => {
  let best: { readonly tag: number; readonly request: WaitingRequest } | undefined;
  for (const queue of lane.customers.values()) {
    const [request] = queue.waiting;
    if (request === undefined) continue;
    const isEarlier =
      best === undefined ||
      queue.startTag < best.tag ||
      (queue.startTag === best.tag && request.enqueuedAt < best.request.enqueuedAt);
    if (isEarlier) best = { tag: queue.startTag, request };
  }
  return best?.request;
};

/**
 * Removes a request from a lane without charging its customer.
 *
 * @param lane - lane of the request
 * @param request - waiting request
 * @returns the lane without it
 */
export const removeFromLane = (lane: Lane, request: WaitingRequest): Lane => {
  const queue = lane.customers.get(request.customer);
  if (queue === undefined) return lane;
  const waiting = queue.waiting.filter((item) => item.requestId !== request.requestId);
  return applyQueue(lane, { ...queue, waiting });
};

/**
 * Serves a request: its customer is charged the predicted tokens, and virtual time advances to the
 * start tag of the request.
 *
 * @param lane - lane of the request
 * @param request - waiting request
 * @returns the lane without it
 */
export const serveFromLane = (lane: Lane, request: WaitingRequest): Lane => {
  const queue = lane.customers.get(request.customer);
  if (queue === undefined) return lane;
  const virtualTime = Math.max(lane.virtualTime, queue.startTag);
  const startTag = queue.startTag + request.predictedTokens / queue.weight;
  const waiting = queue.waiting.filter((item) => item.requestId !== request.requestId);
  const served = applyQueue({ ...lane, virtualTime }, { ...queue, startTag, waiting });
  return pruneQueues(served);
};

/**
 * Charges the difference between a served request's tokens and its prediction. When it used fewer,
 * the refund does not move the customer's start tag behind virtual time.
 *
 * @param lane - lane of the request
 * @param request - served request
 * @param actualTokens - tokens that the request used
 * @returns the lane with the corrected start tag
 */
export const settleInLane = (lane: Lane, request: WaitingRequest, actualTokens: number): Lane => {
  const queue = lane.customers.get(request.customer);
  if (queue === undefined) return lane;
  const difference = (actualTokens - request.predictedTokens) / queue.weight;
  return applyQueue(lane, {
    ...queue,
    startTag: Math.max(lane.virtualTime, queue.startTag + difference),
  });
};

/** Last waiting request of a customer, and the finish tag of that customer's backlog. */
export interface ShedCandidate {
  readonly request: WaitingRequest;
  readonly finishTag: number;
}

/**
 * Finds the request to shed when a lane is too long: the newest one of the customer whose backlog
 * finishes last.
 *
 * @param lane - lane to search
 * @returns the request, or undefined when the lane is empty
 */
export const findShedCandidate = (lane: Lane): ShedCandidate | undefined => {
  let last: ShedCandidate | undefined;
  for (const queue of lane.customers.values()) {
    const request = queue.waiting.at(-1);
    if (request === undefined) continue;
    const backlog = queue.waiting.reduce((sum, item) => sum + item.predictedTokens, 0);
    // Relative to the lane's virtual time, so that tags of different lanes can be compared.
    const finishTag = queue.startTag - lane.virtualTime + backlog / queue.weight;
    if (last === undefined || finishTag > last.finishTag) last = { request, finishTag };
  }
  return last;
};

/**
 * Lists the requests that can no longer start in time.
 *
 * @param lane - lane to search
 * @param now - current instant
 * @returns expired requests
 */
export const listExpired = (lane: Lane, now: number): readonly WaitingRequest[] =>
  [...lane.customers.values()].flatMap((queue) =>
    queue.waiting.filter((request) => request.latestStartAt < now),
  );

/**
 * Finds a waiting request.
 *
 * @param lane - lane to search
 * @param requestId - id of the request
 * @returns the request, or undefined when it does not wait in this lane
 */
export const findWaiting = (lane: Lane, requestId: RequestId): WaitingRequest | undefined => {
  for (const queue of lane.customers.values()) {
    const found = queue.waiting.find((request) => request.requestId === requestId);
    if (found !== undefined) return found;
  }
  return undefined;
};
