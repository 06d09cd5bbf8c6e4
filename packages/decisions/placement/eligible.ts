import { CRITICAL_RESERVE_SHARE, RESERVE_FROM_LIMIT } from './constants.js';
import type {
  ClassTargets,
  EndpointPhase,
  EndpointView,
  Importance,
  OwnView,
  PlacementRequest,
  PlacementTarget,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';

const isOpenPhase = (phase: EndpointPhase): boolean => {
  switch (phase) {
    case 'starting':
    case 'ramping':
    case 'serving':
      return true;
    case 'draining':
    case 'suspect':
    case 'gone':
      return false;
    default:
      return assertNever(phase);
  }
};

const isServing = (endpoint: EndpointView, target: PlacementTarget): boolean => {
  switch (target.kind) {
    case 'model':
      return (
        endpoint.model === target.model &&
        (target.version === undefined || endpoint.version === target.version)
      );
    case 'service':
      return endpoint.service === target.service;
    default:
      return assertNever(target);
  }
};

/**
 * Counts the requests at an endpoint now: the last report, corrected by this daemon's placements
 * and completions since.
 *
 * @param endpoint - last report
 * @param own - this daemon's placements
 * @returns number of requests, at least 0
 */
export const countRequests = (endpoint: EndpointView, own: OwnView): number => {
  const load = own.getLoad(endpoint.endpoint);
  const reported = endpoint.running + endpoint.waiting;
  if (load === undefined) return reported;
  return Math.max(0, reported - load.endedCount) + load.newCount;
};

const isReserveOpen = (importance: Importance): boolean => {
  switch (importance) {
    case 'critical':
      return true;
    case 'standard':
    case 'background':
      return false;
    default:
      return assertNever(importance);
  }
};

/**
 * Computes the sequences that a class may have running at a limit; the rest is kept for critical
 * classes.
 *
 * @param limit - sequences allowed for all classes together
 * @param targets - class of the request
 * @returns the class's limit, at least 1 when `limit` is
 */
export const computeClassLimit = (limit: number, targets: ClassTargets): number => {
  if (limit < RESERVE_FROM_LIMIT || isReserveOpen(targets.importance)) return limit;
  return limit - Math.max(1, Math.floor(limit * CRITICAL_RESERVE_SHARE));
};

/**
 * Computes the memory that a class may plan with; the rest is kept for critical classes.
 *
 * @param total - memory of the engine in tokens
 * @param targets - class of the request
 * @returns tokens that may be used
 */
export const computeClassMemory = (total: number, targets: ClassTargets): number =>
  isReserveOpen(targets.importance) ? total : total * (1 - CRITICAL_RESERVE_SHARE);

/**
 * Lists the endpoints that serve a request's target and take work, whatever their load.
 *
 * @param request - what is to be placed
 * @param endpoints - all known endpoints
 * @returns a new list of the endpoints, in the given order
 */
export const listServing = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
): EndpointView[] => {
  const serving: EndpointView[] = [];
  for (const endpoint of endpoints) {
    if (!isServing(endpoint, request.target)) continue;
    if (!isOpenPhase(endpoint.phase)) continue;
    if (request.pinned !== undefined && request.pinned !== endpoint.endpoint) continue;
    if (request.excluded.size > 0 && request.excluded.has(endpoint.endpoint)) continue;
    serving.push(endpoint);
  }
  return serving;
};

/**
 * Tells whether an endpoint's limit leaves a slot for a request.
 *
 * @param request - what is to be placed
 * @param endpoint - endpoint that serves its target
 * @param requests - requests there now
 * @returns true when the request may be placed as far as the limit goes
 */
export const hasSlot = (
  request: PlacementRequest,
  endpoint: EndpointView,
  requests: number,
): boolean => requests < computeClassLimit(endpoint.limit, request.targets);
