import { computeClassLimit } from './classBounds.js';
import type {
  EndpointPhase,
  EndpointView,
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
