import { NO_VERSION } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import type { RequestPlacement, RequestState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Failure } from '../../core/verdict.js';
import { choosePlacement } from '../../decisions/placement/choosePlacement.js';
import type {
  EndpointView,
  PlacementDecision,
  PlacementRequest,
  PlacementTarget,
} from '../../decisions/placement/types.js';
import type { PlacementRule } from '../../decisions/quarantine/types.js';
import type { EntryEffect } from '../events.js';

/** Result of one attempt to place a request. */
export type PlacementResult =
  | {
      readonly kind: 'placed';
      readonly placement: RequestPlacement;
      readonly effects: readonly EntryEffect[];
    }
  | { readonly kind: 'wait'; readonly reason: string }
  /** The request is suspected of crashing endpoints and is held until it may run alone. */
  | { readonly kind: 'hold' }
  | { readonly kind: 'fail'; readonly failure: Failure };

/**
 * Returns the prompt size that memory estimates and fair queueing use.
 *
 * @param state - request
 * @returns number of tokens; 0 for calls to plain services
 */
export const getPromptTokens = ({ request }: RequestState): number =>
  request.kind === 'generation' ? request.promptTokens : 0;

/** Lists the targets that may serve a request, in order of preference. */
const listTargets = (
  { request }: RequestState,
  inputs: RequestsInputs,
): readonly PlacementTarget[] => {
  switch (request.kind) {
    case 'generation': {
      const choice = inputs.chooseVersion(request.model, request.requestId);
      const target = { kind: 'model', model: request.model } as const;
      if (choice === null) return [target];
      const versions = [choice.version, ...(choice.fallback === null ? [] : [choice.fallback])];
      return versions.map((version) => ({ ...target, version }));
    }
    case 'service':
      return [{ kind: 'service', service: request.service }];
    case 'resume':
      throw new Error('a resumed stream is bound to its endpoint and cannot be placed');
    default:
      return assertNever(request);
  }
};

const listAllowedEndpoints = (
  endpoints: readonly EndpointView[],
  rule: PlacementRule,
): readonly EndpointView[] => {
  switch (rule.kind) {
    case 'anywhere': {
      const others = endpoints.filter(({ endpoint }) => endpoint !== rule.avoid);
      return others.length > 0 ? others : endpoints;
    }
    case 'only':
      return endpoints.filter(({ endpoint }) => rule.endpoints.includes(endpoint));
    case 'isolated': {
      const preferred = endpoints.filter(({ endpoint }) => endpoint === rule.endpoint);
      return preferred.length > 0 ? preferred : endpoints;
    }
    case 'hold':
    case 'refuse':
      return [];
    default:
      return assertNever(rule);
  }
};

const toPlacementRequest = (
  state: RequestState,
  target: PlacementTarget,
  inputs: RequestsInputs,
): PlacementRequest => {
  const { request, policy } = state;
  return {
    requestId: request.requestId,
    target,
    customer: request.customer,
    targets: policy,
    promptTokens: getPromptTokens(state),
    ...(request.kind === 'generation' ? { prefix: request.prefix } : {}),
    dataCentre: inputs.dataCentre,
    excluded: state.excluded,
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

const recordPlacement = (
  state: RequestState,
  placement: RequestPlacement,
  inputs: RequestsInputs,
): void => {
  const { request, policy } = state;
  const { requestId, fingerprint, parts } = request;
  inputs.placements.trackPlacement({
    requestId,
    endpoint: placement.endpoint,
    className: policy.className,
    customer: request.customer,
    version: placement.version,
    promptTokens: getPromptTokens(state),
    generated: 0,
    report: 'not-included',
    placedAt: placement.placedAt,
  });
  inputs.suspicions.apply({
    kind: 'attempt-started',
    requestId,
    fingerprint,
    parts,
    endpoint: placement.endpoint,
    incarnation: placement.engineStart,
  });
};

const applyPlacement = (
  state: RequestState,
  decision: Extract<PlacementDecision, { readonly kind: 'place' }>,
  view: EndpointView | undefined,
  inputs: RequestsInputs,
): PlacementResult => {
  const heartbeat = inputs.findHeartbeat(decision.endpoint);
  if (view === undefined || heartbeat === undefined) {
    return { kind: 'wait', reason: 'the chosen endpoint has no address yet' };
  }
  const placement: RequestPlacement = {
    endpoint: decision.endpoint,
    incarnation: decision.incarnation,
    engineStart: heartbeat.engineStart,
    url: heartbeat.rpcUrl,
    model: view.model ?? '',
    version: view.version ?? NO_VERSION,
    placedAt: inputs.now(),
  };
  recordPlacement(state, placement, inputs);
  return { kind: 'placed', placement, effects: [logPlacement(state, decision)] };
};

/** Considers the next target only when no endpoint of the previous one accepts work at all. */
const choosePlacementByTarget = (
  state: RequestState,
  endpoints: readonly EndpointView[],
  inputs: RequestsInputs,
): PlacementDecision => {
  const decide = (target: PlacementTarget): PlacementDecision =>
    choosePlacement(
      inputs.placementPolicy,
      toPlacementRequest(state, target, inputs),
      endpoints,
      inputs.placements,
      inputs.survival,
      inputs.random,
    );
  const [first, ...others] = listTargets(state, inputs);
  if (first === undefined) throw new Error('the request has no placement target');
  return others.reduce(
    (decision, target) => (decision.kind === 'refuse' ? decide(target) : decision),
    decide(first),
  );
};

/**
 * Tries to place a request, and records the placement when an endpoint was found.
 *
 * @param state - request to place
 * @param inputs - endpoints, estimates, suspicions and placements of this daemon
 * @returns the placement, or that the request waits, is held or fails
 */
export const selectPlacement = (state: RequestState, inputs: RequestsInputs): PlacementResult => {
  const rule = inputs.suspicions.checkPlacement(
    { whole: state.request.fingerprint, parts: state.request.parts },
    inputs.now(),
  );
  if (rule.kind === 'refuse') return { kind: 'fail', failure: rule.failure };
  if (rule.kind === 'hold') return { kind: 'hold' };
  const endpoints = listAllowedEndpoints(inputs.listEndpoints(), rule);
  const decision = choosePlacementByTarget(state, endpoints, inputs);
  switch (decision.kind) {
    case 'wait':
      return decision;
    // A heartbeat may be late, so the request waits for an endpoint until its deadline.
    case 'refuse':
      return { kind: 'wait', reason: decision.failure.message };
    case 'place': {
      const view = endpoints.find(({ endpoint }) => endpoint === decision.endpoint);
      return applyPlacement(state, decision, view, inputs);
    }
    default:
      return assertNever(decision);
  }
};
