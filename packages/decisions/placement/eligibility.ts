import { computeClassLimit } from './classBounds.js';
import type {
  EndpointPhase,
  EndpointView,
  PlacementRequest,
  PlacementTableView,
  PlacementTarget,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';

const isAcceptingPhase = (phase: EndpointPhase): boolean => {
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

const isServingTarget = (endpoint: EndpointView, target: PlacementTarget): boolean => {
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
 * Estimates the current number of requests at an endpoint: the last report, adjusted by this
 * daemon's placements and completions since then. A refusal since then gives a lower bound that
 * includes the requests of other entry daemons.
 *
 * @param endpoint - endpoint with its last report
 * @param placements - this daemon's placements
 * @returns number of requests, at least 0
 */
export const countRequests = (endpoint: EndpointView, placements: PlacementTableView): number => {
  const load = placements.getLoad(endpoint.endpoint);
  const reported = endpoint.running + endpoint.waiting;
  if (load === undefined) return reported;
  const count = Math.max(0, reported - load.endedCount) + load.newCount;
  return Math.max(count, load.requestsAtRefusal);
};

/**
 * Reports whether an endpoint serves a request's target and accepts work, regardless of its load.
 *
 * @param request - request to place
 * @param endpoint - known endpoint
 * @returns true if the endpoint is a candidate for the request
 */
export const isCandidate = (request: PlacementRequest, endpoint: EndpointView): boolean =>
  isServingTarget(endpoint, request.target) &&
  isAcceptingPhase(endpoint.phase) &&
  (request.pinned === undefined || request.pinned === endpoint.endpoint) &&
  !(request.excluded.size > 0 && request.excluded.has(endpoint.endpoint));

/**
 * Reports whether an endpoint has a free slot for the class of a request.
 *
 * @param request - request to place
 * @param endpoint - endpoint that serves the request's target
 * @param requests - current number of requests at the endpoint
 * @returns true if the endpoint's limit permits another request of the class
 */
export const hasSlot = (
  request: PlacementRequest,
  endpoint: EndpointView,
  requests: number,
): boolean => requests < computeClassLimit(endpoint.limit, request.targets);
