import {
  MAX_CHECKS_PER_CHOICE,
  MAX_SLOT_CHECKS,
  PREFIX_DECAY_MS,
  SAMPLING_STRIDES,
} from './constants.js';
import { countRequests, hasSlot, isCandidate } from './eligibility.js';
import { buildInputs, checkEndpoint } from './headroom.js';
import type { CandidateCheck, HeadroomInputs } from './headroom.js';
import type {
  EndpointView,
  PlacementCandidate,
  PlacementDecision,
  PlacementPolicy,
  PlacementReason,
  PlacementRequest,
  PlacementTableView,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { RandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';
import type { SurvivalView } from '../survival/types.js';

const buildBaselineCandidate = (endpoint: EndpointView, requests: number): PlacementCandidate => ({
  endpoint: endpoint.endpoint,
  score: -requests,
  requests,
  overflowProbability: 0,
  headroom:
    endpoint.memoryTotalTokens > 0 ? 1 - endpoint.memoryUsedTokens / endpoint.memoryTotalTokens : 0,
});

const buildPlaced = (
  request: PlacementRequest,
  view: EndpointView,
  reason: PlacementReason,
  candidates: readonly PlacementCandidate[],
  extraReasons: readonly PlacementReason[] = [],
): PlacementDecision => ({
  kind: 'place',
  endpoint: view.endpoint,
  incarnation: view.incarnation,
  reasons: [
    request.pinned === undefined ? reason : 'pinned',
    ...extraReasons,
    ...(view.dataCentre === request.dataCentre ? (['same-data-centre'] as const) : []),
  ],
  candidates,
});

const buildWait = (
  request: PlacementRequest,
  reason: 'at-limit' | 'memory-full',
): PlacementDecision => ({
  kind: 'wait',
  reason: request.pinned === undefined ? reason : 'pinned-endpoint-busy',
});

const buildRefusal = (request: PlacementRequest): PlacementDecision => ({
  kind: 'refuse',
  failure:
    request.pinned === undefined
      ? createFailure('not-run', 'no-endpoint', 'no endpoint that accepts work serves the request')
      : createFailure('not-run', 'no-endpoint', `endpoint ${request.pinned} accepts no work`),
});

/** Waits if a full endpoint may free a slot; refuses if there is no endpoint to wait for. */
const decideWithoutSlot = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
): PlacementDecision =>
  endpoints.some((endpoint) => isCandidate(request, endpoint))
    ? buildWait(request, 'at-limit')
    : buildRefusal(request);

/**
 * Starts at the round-robin position among all candidates and skips full endpoints, so that a full
 * endpoint does not change the order of the others.
 */
const chooseRoundRobin = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  placements: PlacementTableView,
): PlacementDecision => {
  const serving = endpoints.filter((endpoint) => isCandidate(request, endpoint));
  const first = placements.getPlacementCount() % Math.max(1, serving.length);
  for (let step = 0; step < serving.length; step += 1) {
    const view = serving[(first + step) % serving.length] as EndpointView;
    const requests = countRequests(view, placements);
    if (!hasSlot(request, view, requests)) continue;
    return buildPlaced(request, view, 'next-in-turn', [buildBaselineCandidate(view, requests)]);
  }
  return decideWithoutSlot(request, endpoints);
};

const chooseFewestRequests = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  placements: PlacementTableView,
  random: RandomSource,
): PlacementDecision => {
  let fewest = Infinity;
  let tied: EndpointView[] = [];
  for (const view of endpoints) {
    if (!isCandidate(request, view)) continue;
    const requests = countRequests(view, placements);
    if (requests > fewest || !hasSlot(request, view, requests)) continue;
    if (requests < fewest) tied = [];
    fewest = requests;
    tied.push(view);
  }
  // Random tie-breaking keeps entry daemons with the same view from choosing the same endpoint.
  const view = tied[Math.floor(random.next() * tied.length)];
  if (view === undefined) return decideWithoutSlot(request, endpoints);
  return buildPlaced(request, view, 'fewest-requests', [buildBaselineCandidate(view, fewest)]);
};

/**
 * Finds an endpoint that has the request's prefix cached. The search starts at a random position,
 * so that several such endpoints share the requests of one prefix.
 */
const findPrefixHolder = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): EndpointView | undefined => {
  const { prefix } = request;
  if (prefix === undefined) return undefined;
  const first = Math.floor(random.next() * endpoints.length);
  let best: EndpointView | undefined;
  for (let step = 0; step < endpoints.length; step += 1) {
    const view = endpoints[(first + step) % endpoints.length] as EndpointView;
    if (best !== undefined && view.prefixAgeMs >= best.prefixAgeMs) continue;
    if (!view.prefixes.has(prefix) || !isCandidate(request, view)) continue;
    best = view;
    if (view.prefixAgeMs < PREFIX_DECAY_MS / 2) break;
  }
  return best;
};

/** Picks a stride that visits every endpoint once: a prime that does not divide the count. */
const pickStride = (count: number, random: RandomSource): number => {
  const stride = SAMPLING_STRIDES[Math.floor(random.next() * SAMPLING_STRIDES.length)] ?? 1;
  return count % stride === 0 ? 1 : stride;
};

/**
 * Checks endpoints in random order until enough of them fit, starting with the one that has the
 * prefix cached. Memory is predicted only for endpoints with a free slot, and no list of all
 * endpoints is built. In a large fleet a request may wait although some endpoint has a free slot,
 * if none of the `MAX_SLOT_CHECKS` sampled endpoints has one.
 */
const checkCandidates = (
  inputs: HeadroomInputs,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): readonly CandidateCheck[] => {
  const { request, policy, placements } = inputs;
  const checks: CandidateCheck[] = [];
  let fitting = 0;
  let slotChecks = 0;
  const checkNext = (view: EndpointView): void => {
    slotChecks += 1;
    const requests = countRequests(view, placements);
    if (!hasSlot(request, view, requests)) return;
    const check = checkEndpoint(inputs, view, requests);
    checks.push(check);
    if (check.room === 'fits') fitting += 1;
  };
  const holder = findPrefixHolder(request, endpoints, random);
  if (holder !== undefined) checkNext(holder);
  const count = endpoints.length;
  const stride = pickStride(count, random);
  const bound = policy.choices * MAX_CHECKS_PER_CHOICE;
  let position = Math.floor(random.next() * count);
  for (let step = 0; step < count; step += 1) {
    if (fitting >= policy.choices || checks.length >= bound) break;
    if (slotChecks >= MAX_SLOT_CHECKS) break;
    const view = endpoints[position] as EndpointView;
    position = (position + stride) % count;
    if (view !== holder && isCandidate(request, view)) checkNext(view);
  }
  return checks;
};

const chooseMostHeadroom = (
  inputs: HeadroomInputs,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): PlacementDecision => {
  const { request } = inputs;
  const checks = checkCandidates(inputs, endpoints, random);
  if (checks.length === 0) return decideWithoutSlot(request, endpoints);
  let best: CandidateCheck | undefined;
  for (const check of checks) {
    if (check.room === 'too-full') continue;
    if (best === undefined || check.candidate.score > best.candidate.score) best = check;
  }
  if (best === undefined) return buildWait(request, 'memory-full');
  const reason = request.targets.answerLength === 'short' ? 'shortest-wait' : 'most-headroom';
  return buildPlaced(
    request,
    best.view,
    reason,
    checks.map((check) => check.candidate),
    best.prefixBonus > 0 ? ['prefix-cached'] : [],
  );
};

/**
 * Chooses the endpoint for a request.
 *
 * @param policy - how to choose among the endpoints that may serve the request
 * @param request - request to place
 * @param endpoints - all known endpoints
 * @param placements - this daemon's placements
 * @param survival - output length estimates
 * @param random - source of randomness for breaking ties and sampling candidates
 * @returns the chosen endpoint, the reason to wait, or a refusal with verdict `not-run`
 */
export const choosePlacement = (
  policy: PlacementPolicy,
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  placements: PlacementTableView,
  survival: SurvivalView,
  random: RandomSource,
): PlacementDecision => {
  switch (policy.kind) {
    case 'round-robin':
      return chooseRoundRobin(request, endpoints, placements);
    case 'least-requests':
      return chooseFewestRequests(request, endpoints, placements, random);
    case 'predicted-headroom':
      return chooseMostHeadroom(
        buildInputs(policy, request, placements, survival),
        endpoints,
        random,
      );
    default:
      return assertNever(policy);
  }
};
