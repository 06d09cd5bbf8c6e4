import { TESTS_PER_CHOICE } from './constants.js';
import { countRequests, listServing, listWithSlot } from './eligible.js';
import { checkEndpoint } from './headroom.js';
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

/** Walks from the turn's place in the whole list, so that a full endpoint does not shift the rest. */
const chooseInTurn = (
  request: PlacementRequest,
  serving: readonly EndpointView[],
  open: readonly EndpointView[],
  own: OwnView,
): PlacementDecision => {
  const withSlot = new Set(open);
  const first = own.getTurn() % serving.length;
  const inTurn = [...serving.slice(first), ...serving.slice(0, first)];
  const view = inTurn.find((endpoint) => withSlot.has(endpoint)) as EndpointView;
  return buildPlaced(request, view, 'next-in-turn', [
    buildBaselineCandidate(view, countRequests(view, own)),
  ]);
};

const chooseFewestRequests = (
  request: PlacementRequest,
  open: readonly EndpointView[],
  own: OwnView,
  random: RandomSource,
): PlacementDecision => {
  const counts = open.map((endpoint) => countRequests(endpoint, own));
  const fewest = counts.reduce((least, count) => Math.min(least, count), Infinity);
  const tied = open.filter((_, index) => counts[index] === fewest);
  // Ties are broken by chance, so that entry daemons with the same view do not herd.
  const view = tied[Math.floor(random.next() * tied.length)] as EndpointView;
  return buildPlaced(request, view, 'fewest-requests', [buildBaselineCandidate(view, fewest)]);
};

const findPrefixHolder = (
  request: PlacementRequest,
  open: readonly EndpointView[],
): EndpointView | undefined => {
  const { prefix } = request;
  if (prefix === undefined) return undefined;
  return open
    .filter((endpoint) => endpoint.prefixes.has(prefix))
    .reduce<EndpointView | undefined>(
      (best, endpoint) =>
        best === undefined || endpoint.prefixAgeMs < best.prefixAgeMs ? endpoint : best,
      undefined,
    );
};

/** Tests endpoints in random order until enough of them fit; a holder of the prefix goes first. */
const collectTested = (
  inputs: HeadroomInputs,
  open: readonly EndpointView[],
  random: RandomSource,
): readonly TestedEndpoint[] => {
  const holder = findPrefixHolder(inputs.request, open);
  const tested = holder === undefined ? [] : [checkEndpoint(inputs, holder)];
  const order = [...open];
  const bound = Math.min(order.length, inputs.policy.choices * TESTS_PER_CHOICE);
  let fitting = tested.filter((test) => test.room === 'fits').length;
  for (let index = 0; index < bound && fitting < inputs.policy.choices; index += 1) {
    const pick = index + Math.floor(random.next() * (order.length - index));
    const view = order[pick] as EndpointView;
    order[pick] = order[index] as EndpointView;
    if (view === holder) continue;
    const test = checkEndpoint(inputs, view);
    tested.push(test);
    if (test.room === 'fits') fitting += 1;
  }
  return tested;
};

const chooseMostHeadroom = (
  inputs: HeadroomInputs,
  open: readonly EndpointView[],
  random: RandomSource,
): PlacementDecision => {
  const { request } = inputs;
  const tested = collectTested(inputs, open, random);
  const best = tested
    .filter((test) => test.room === 'fits')
    .reduce<TestedEndpoint | undefined>(
      (leader, test) =>
        leader === undefined || test.candidate.score > leader.candidate.score ? test : leader,
      undefined,
    );
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
  const serving = listServing(request, endpoints);
  if (serving.length === 0) return buildRefusal(request);
  const open = listWithSlot(request, serving, own);
  if (open.length === 0) return buildWait(request, 'at-limit');
  switch (policy.kind) {
    case 'round-robin':
      return chooseInTurn(request, serving, open, own);
    case 'least-requests':
      return chooseFewestRequests(request, open, own, random);
    case 'predicted-headroom':
      return chooseMostHeadroom({ policy, request, own, survival }, open, random);
    default:
      return assertNever(policy);
  }
};
