import { MAX_BOUNCES, NO_VERSION } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import type { Placed, RequestState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { EndpointId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import { choosePlacement } from '../../decisions/placement/choosePlacement.js';
import type {
  PlacementDecision,
  PlacementRequest,
  PlacementTarget,
} from '../../decisions/placement/types.js';
import type { EntryEffect } from '../events.js';

/** Result of one try to place a request. */
export type PlacingResult =
  | { readonly kind: 'placed'; readonly place: Placed; readonly effects: readonly EntryEffect[] }
  | { readonly kind: 'wait'; readonly reason: string }
  | { readonly kind: 'refuse'; readonly failure: Failure };

const toTarget = (state: RequestState): PlacementTarget => {
  const { request } = state;
  switch (request.kind) {
    case 'generation':
      return {
        kind: 'model',
        model: request.model,
        ...(state.version === null ? {} : { version: state.version }),
      };
    case 'service':
      return { kind: 'service', service: request.service };
    case 'resume':
      throw new Error('a resumed stream is bound to its endpoint and is never placed');
    default:
      return assertNever(request);
  }
};

/** Endpoints that bounced a request are tried again once all others have refused it as well. */
const listExcluded = (state: RequestState): ReadonlySet<EndpointId> =>
  state.bounces >= MAX_BOUNCES ? new Set() : state.excluded;

const toPlacementRequest = (state: RequestState, inputs: RequestsInputs): PlacementRequest => {
  const { request, policy } = state;
  return {
    requestId: request.requestId,
    target: toTarget(state),
    customer: request.customer,
    targets: policy,
    promptTokens: request.kind === 'generation' ? request.promptTokens : 0,
    ...(request.kind === 'generation' ? { prefix: request.prefix } : {}),
    dataCentre: inputs.dataCentre,
    excluded: listExcluded(state),
  };
};

const logPlacement = (
  state: RequestState,
  decision: Extract<PlacementDecision, { readonly kind: 'place' }>,
): EntryEffect => ({
  kind: 'log',
  name: 'request-placed',
  details: {
    requestId: state.request.requestId,
    endpoint: decision.endpoint,
    data: {
      chosen: decision.endpoint,
      reason: decision.reasons.join(', '),
      candidates: decision.candidates.map(
        ({ endpoint, score, requests, overflowProbability }) =>
          `${endpoint} score=${score.toFixed(3)} requests=${requests.toString()} overflow=${overflowProbability.toFixed(4)}`,
      ),
    },
  },
});

/**
 * Tries to place a request and tracks the placement.
 *
 * @param state - request to place
 * @param inputs - endpoints, estimates and own placements
 * @returns the place, or that the request waits or is refused
 */
export const selectPlace = (state: RequestState, inputs: RequestsInputs): PlacingResult => {
  const endpoints = inputs.listEndpoints();
  const decision = choosePlacement(
    inputs.policy,
    toPlacementRequest(state, inputs),
    endpoints,
    inputs.own,
    inputs.survival,
    inputs.random,
  );
  switch (decision.kind) {
    case 'wait':
      return decision;
    case 'refuse':
      return decision;
    case 'place': {
      const view = endpoints.find(({ endpoint }) => endpoint === decision.endpoint);
      const url = inputs.findUrl(decision.endpoint);
      if (view === undefined || url === undefined) {
        return { kind: 'wait', reason: 'the chosen endpoint has no address yet' };
      }
      const place: Placed = {
        endpoint: decision.endpoint,
        incarnation: decision.incarnation,
        url,
        model: view.model ?? '',
        version: view.version ?? NO_VERSION,
        placedAt: inputs.now(),
      };
      trackPlace(state, place, inputs);
      return { kind: 'placed', place, effects: [logPlacement(state, decision)] };
    }
    default:
      return assertNever(decision);
  }
};

const trackPlace = (state: RequestState, place: Placed, inputs: RequestsInputs): void => {
  const { request, policy } = state;
  inputs.own.trackPlacement({
    requestId: request.requestId,
    endpoint: place.endpoint,
    className: policy.className,
    customer: request.customer,
    version: place.version,
    promptTokens: request.kind === 'generation' ? request.promptTokens : 0,
    generated: 0,
    report: 'not-included',
    placedAt: place.placedAt,
  });
};
