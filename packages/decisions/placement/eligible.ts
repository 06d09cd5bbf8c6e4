import { computeClassLimit } from './classBounds.js';
import type {
  EndpointPhase,
  EndpointView,
  PlacementTableView,
  PlacementRequest,
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
 * Counts the requests at an endpoint now: the last report, corrected by this daemon's placements
 * and completions since. A refusal since then shows the requests of other entry daemons.
 *
 * @param endpoint - last report
 * @param own - this daemon's placements
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
 * Tells whether an endpoint serves a request's target and takes work, whatever its load.
 *
 * @param request - what is to be placed
 * @param endpoint - known endpoint
 * @returns true when the request may be placed there
 */
export const isCandidate = (request: PlacementRequest, endpoint: EndpointView): boolean =>
  isServingTarget(endpoint, request.target) &&
  isAcceptingPhase(endpoint.phase) &&
  (request.pinned === undefined || request.pinned === endpoint.endpoint) &&
  !(request.excluded.size > 0 && request.excluded.has(endpoint.endpoint));

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
