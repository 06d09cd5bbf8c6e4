import {
  addToLane,
  createLane,
  findHead,
  findShedCandidate,
  findWaiting,
  formatLaneKey,
  listExpired,
  removeFromLane,
  serveFromLane,
  settleInLane,
} from './lane.js';
import type { ShedCandidate } from './lane.js';
import type {
  Lane,
  QueueEffect,
  QueueEvent,
  QueueSettings,
  QueueState,
  WaitingRequest,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, RequestId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { FailureCode } from '../../core/verdict.js';
import type { Importance } from '../placement/types.js';

type QueueStep = Step<QueueState, QueueEffect>;

/**
 * Creates an empty queue.
 *
 * @param settings - bounds of the queue
 * @returns a queue without lanes
 */
export const createQueueState = (settings: QueueSettings): QueueState => ({
  settings,
  lanes: new Map(),
});

/** Converts an importance to a rank; the least important has rank 0. */
const toRank = (importance: Importance): number => {
  switch (importance) {
    case 'background':
      return 0;
    case 'standard':
      return 1;
    case 'critical':
      return 2;
    default:
      return assertNever(importance);
  }
};

/**
 * Lists the requests to place next: the head of each lane by fair queueing, the most important
 * first and, within an importance, the longest wait first.
 *
 * @param state - queue
 * @returns at most one request for each class and resource
 */
export const listHeads = (state: QueueState): readonly WaitingRequest[] =>
  [...state.lanes.values()]
    .flatMap((lane) => findHead(lane) ?? [])
    .sort(
      (left, right) =>
        toRank(right.importance) - toRank(left.importance) || left.enqueuedAt - right.enqueuedAt,
    );

/**
 * Counts the waiting requests.
 *
 * @param state - queue
 * @returns number of waiting requests of all classes
 */
export const countWaiting = (state: QueueState): number => {
  let count = 0;
  for (const lane of state.lanes.values()) count += lane.count;
  return count;
};

const countClass = (state: QueueState, className: ClassName): number => {
  let count = 0;
  for (const lane of state.lanes.values()) if (lane.className === className) count += lane.count;
  return count;
};

const applyLane = (state: QueueState, key: string, lane: Lane): QueueState => {
  const lanes = new Map(state.lanes);
  // An empty lane is deleted and restarts at virtual time 0, so past charges need not be kept.
  if (lane.count > 0) lanes.set(key, lane);
  else lanes.delete(key);
  return { ...state, lanes };
};

const removeWaiting = (
  state: QueueState,
  request: WaitingRequest,
  remove: (lane: Lane, request: WaitingRequest) => Lane,
): QueueState => {
  const key = formatLaneKey(request);
  const lane = state.lanes.get(key);
  return lane === undefined ? state : applyLane(state, key, remove(lane, request));
};

const addWaiting = (state: QueueState, request: WaitingRequest): QueueState => {
  const key = formatLaneKey(request);
  return applyLane(state, key, addToLane(state.lanes.get(key) ?? createLane(request), request));
};

/**
 * Finds a waiting request. The queue has no index by id: copying one with thousands of entries for
 * every event took longer than this search.
 *
 * @param state - queue
 * @param requestId - id of the request
 * @returns the request, or undefined when it does not wait
 */
export const findRequest = (
  state: QueueState,
  requestId: RequestId,
): WaitingRequest | undefined => {
  for (const lane of state.lanes.values()) {
    const found = findWaiting(lane, requestId);
    if (found !== undefined) return found;
  }
  return undefined;
};

const buildRefusal = (
  request: WaitingRequest,
  code: FailureCode,
  message: string,
  retryAfterMs?: Millis,
): QueueEffect => ({
  kind: 'refuse',
  requestId: request.requestId,
  failure: createFailure('not-run', code, message, retryAfterMs),
});

const pickShedCandidate = (lanes: readonly Lane[]): WaitingRequest | undefined => {
  let last: ShedCandidate | undefined;
  for (const lane of lanes) {
    const candidate = findShedCandidate(lane);
    if (candidate === undefined) continue;
    if (last === undefined || candidate.finishTag > last.finishTag) last = candidate;
  }
  return last?.request;
};

/** Finds the request to shed among the lanes of the lowest importance. */
const findLeastImportant = (state: QueueState): WaitingRequest | undefined => {
  const lanes = [...state.lanes.values()];
  const least = lanes.reduce((rank, lane) => Math.min(rank, toRank(lane.importance)), Infinity);
  return pickShedCandidate(lanes.filter((lane) => toRank(lane.importance) === least));
};

/** Sheds a request above the bounds. The arrival is queued already and competes with the others. */
const shedExcess = (state: QueueState, arrival: WaitingRequest): QueueStep => {
  const { maxWaiting, maxWaitingPerClass, retryAfterMs } = state.settings;
  if (countClass(state, arrival.className) > maxWaitingPerClass) {
    const lanes = [...state.lanes.values()];
    const dropped = pickShedCandidate(lanes.filter((lane) => lane.className === arrival.className));
    if (dropped === undefined) return toStep(state);
    const message = `the queue of class ${dropped.className} is full`;
    return toStep(
      removeWaiting(state, dropped, removeFromLane),
      buildRefusal(dropped, 'overloaded', message, retryAfterMs),
    );
  }
  if (countWaiting(state) <= maxWaiting) return toStep(state);
  const dropped = findLeastImportant(state);
  if (dropped === undefined) return toStep(state);
  const message = `class ${dropped.className} is shed, since the queue is full`;
  return toStep(
    removeWaiting(state, dropped, removeFromLane),
    buildRefusal(dropped, 'shed', message, retryAfterMs),
  );
};

const handleEnqueue = (state: QueueState, request: WaitingRequest): QueueStep => {
  if (findRequest(state, request.requestId) !== undefined) return toStep(state);
  const step = shedExcess(addWaiting(state, request), request);
  const isRefused = step.effects.some(
    (effect) => effect.kind === 'refuse' && effect.requestId === request.requestId,
  );
  return isRefused
    ? step
    : toStep(step.state, { kind: 'queued', requestId: request.requestId }, ...step.effects);
};

const handleTick = (state: QueueState, now: Millis): QueueStep => {
  const expired = [...state.lanes.values()].flatMap((lane) => listExpired(lane, now));
  const next = expired.reduce(
    (current, request) => removeWaiting(current, request, removeFromLane),
    state,
  );
  const message = 'no endpoint had capacity before the deadline';
  return toStep(
    next,
    ...expired.map((request) => buildRefusal(request, 'deadline-exceeded', message)),
  );
};

const handleDequeue = (state: QueueState, requestId: RequestId): QueueStep => {
  const request = findRequest(state, requestId);
  if (request === undefined) return toStep(state);
  return toStep(removeWaiting(state, request, serveFromLane), { kind: 'serve', request });
};

const handleSettle = (
  state: QueueState,
  request: WaitingRequest,
  actualTokens: number,
): QueueStep => {
  const key = formatLaneKey(request);
  const lane = state.lanes.get(key);
  if (lane === undefined) return toStep(state);
  return toStep(applyLane(state, key, settleInLane(lane, request, actualTokens)));
};

/**
 * Decides the order of waiting requests. Within a class, customers share by weight, measured in
 * predicted tokens (start-time fair queueing). Above the bounds, the least important class is shed
 * first and, within a class, the customer whose backlog finishes last.
 *
 * @param state - queue
 * @param event - arrival, placement, cancellation, end or time
 * @returns the next state and effects
 */
export const decideQueue = (state: QueueState, event: QueueEvent): QueueStep => {
  switch (event.kind) {
    case 'enqueue':
      return handleEnqueue(state, event.request);
    case 'dequeue':
      return handleDequeue(state, event.requestId);
    case 'cancel': {
      const request = findRequest(state, event.requestId);
      return toStep(request === undefined ? state : removeWaiting(state, request, removeFromLane));
    }
    case 'tick':
      return handleTick(state, event.now);
    case 'settle':
      return handleSettle(state, event.request, event.actualTokens);
    default:
      return assertNever(event);
  }
};
