import {
  MAX_SLOT_CHECKS,
  PREFIX_FRESHNESS_MS,
  SAMPLING_STRIDES,
  TESTS_PER_CHOICE,
} from './constants.js';
import { countRequests, hasSlot, isCandidate } from './eligible.js';
import { buildInputs, checkEndpoint } from './headroom.js';
import type { HeadroomInputs, TestedEndpoint } from './headroom.js';
import type {
  EndpointView,
  OwnView,
  PlacementCandidate,
  PlacementDecision,
  PlacementPolicy,
  PlacementReason,
  PlacementRequest,
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
  more: readonly PlacementReason[] = [],
): PlacementDecision => ({
  kind: 'place',
  endpoint: view.endpoint,
  incarnation: view.incarnation,
  reasons: [
    request.pinned === undefined ? reason : 'pinned',
    ...more,
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
      ? createFailure('not-run', 'no-endpoint', 'no endpoint that takes work serves the request')
      : createFailure('not-run', 'no-endpoint', `endpoint ${request.pinned} takes no work`),
});

/** Full endpoints may get room soon, while missing ones would let the caller wait in vain. */
const decideWithoutSlot = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
): PlacementDecision =>
  endpoints.some((endpoint) => isCandidate(request, endpoint))
    ? buildWait(request, 'at-limit')
    : buildRefusal(request);

/** Walks from the turn's place in the whole list, so that a full endpoint does not shift the rest. */
const chooseInTurn = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  own: OwnView,
): PlacementDecision => {
  const serving = endpoints.filter((endpoint) => isCandidate(request, endpoint));
  const first = own.getTurn() % Math.max(1, serving.length);
  for (let step = 0; step < serving.length; step += 1) {
    const view = serving[(first + step) % serving.length] as EndpointView;
    const requests = countRequests(view, own);
    if (!hasSlot(request, view, requests)) continue;
    return buildPlaced(request, view, 'next-in-turn', [buildBaselineCandidate(view, requests)]);
  }
  return decideWithoutSlot(request, endpoints);
};

const chooseFewestRequests = (
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  own: OwnView,
  random: RandomSource,
): PlacementDecision => {
  let fewest = Infinity;
  let tied: EndpointView[] = [];
  for (const view of endpoints) {
    if (!isCandidate(request, view)) continue;
    const requests = countRequests(view, own);
    if (requests > fewest || !hasSlot(request, view, requests)) continue;
    if (requests < fewest) tied = [];
    fewest = requests;
    tied.push(view);
  }
  // Ties are broken by chance, so that entry daemons with the same view do not herd.
  const view = tied[Math.floor(random.next() * tied.length)];
  if (view === undefined) return decideWithoutSlot(request, endpoints);
  return buildPlaced(request, view, 'fewest-requests', [buildBaselineCandidate(view, fewest)]);
};

/** Starts at a random place, so that several holders share the requests of one prefix. */
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
    if (view.prefixAgeMs < PREFIX_FRESHNESS_MS / 2) break;
  }
  return best;
};

/** Picks a stride that visits every endpoint once: a prime that does not divide their number. */
const pickStride = (count: number, random: RandomSource): number => {
  const stride = SAMPLING_STRIDES[Math.floor(random.next() * SAMPLING_STRIDES.length)] ?? 1;
  return count % stride === 0 ? 1 : stride;
};

/**
 * Tests endpoints in random order until enough of them fit; the holder of the prefix goes first.
 * Endpoints without a free slot cost no test, and no list of all endpoints is built. In a large fleet
 * a request may wait although a slot is free somewhere, when none of a large sample has one.
 */
const collectTested = (
  inputs: HeadroomInputs,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): readonly TestedEndpoint[] => {
  const { request, policy, own } = inputs;
  const tested: TestedEndpoint[] = [];
  let fitting = 0;
  let checked = 0;
  const checkNext = (view: EndpointView): void => {
    checked += 1;
    const requests = countRequests(view, own);
    if (!hasSlot(request, view, requests)) return;
    const test = checkEndpoint(inputs, view, requests);
    tested.push(test);
    if (test.room === 'fits') fitting += 1;
  };
  const holder = findPrefixHolder(request, endpoints, random);
  if (holder !== undefined) checkNext(holder);
  const count = endpoints.length;
  const stride = pickStride(count, random);
  const bound = policy.choices * TESTS_PER_CHOICE;
  let position = Math.floor(random.next() * count);
  for (let step = 0; step < count; step += 1) {
    if (fitting >= policy.choices || tested.length >= bound) break;
    if (checked >= MAX_SLOT_CHECKS) break;
    const view = endpoints[position] as EndpointView;
    position = (position + stride) % count;
    if (view !== holder && isCandidate(request, view)) checkNext(view);
  }
  return tested;
};

const chooseMostHeadroom = (
  inputs: HeadroomInputs,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): PlacementDecision => {
  const { request } = inputs;
  const tested = collectTested(inputs, endpoints, random);
  if (tested.length === 0) return decideWithoutSlot(request, endpoints);
  let best: TestedEndpoint | undefined;
  for (const test of tested) {
    if (test.room === 'too-full') continue;
    if (best === undefined || test.candidate.score > best.candidate.score) best = test;
  }
  if (best === undefined) return buildWait(request, 'memory-full');
  const reason = request.targets.answerLength === 'short' ? 'shortest-wait' : 'most-headroom';
  return buildPlaced(
    request,
    best.view,
    reason,
    tested.map((test) => test.candidate),
    best.prefixWorth > 0 ? ['prefix-cached'] : [],
  );
};

/**
 * Chooses the endpoint of a request.
 *
 * @param policy - how to choose among the endpoints that may take it
 * @param request - what is to be placed
 * @param endpoints - all known endpoints
 * @param own - this daemon's placements since the load reports
 * @param survival - length estimates
 * @param random - breaks ties and samples candidates
 * @returns the endpoint, or that the request waits, or a refusal as not-run
 */
export const choosePlacement = (
  policy: PlacementPolicy,
  request: PlacementRequest,
  endpoints: readonly EndpointView[],
  own: OwnView,
  survival: SurvivalView,
  random: RandomSource,
): PlacementDecision => {
  switch (policy.kind) {
    case 'round-robin':
      return chooseInTurn(request, endpoints, own);
    case 'least-requests':
      return chooseFewestRequests(request, endpoints, own, random);
    case 'predicted-headroom':
      return chooseMostHeadroom(buildInputs(policy, request, own, survival), endpoints, random);
    default:
      return assertNever(policy);
  }
};
