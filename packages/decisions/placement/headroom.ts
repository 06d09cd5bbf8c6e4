import { computeAcceptedOverflow, computeClassMemory } from './classBounds.js';
import {
  DEFAULT_SEQUENCE_TOKENS_PER_SECOND,
  MAX_EXTRAPOLATION_MS,
  PREFIX_DECAY_MS,
  PREFIX_GAP_FACTOR,
  SAME_DATA_CENTRE_BONUS,
} from './constants.js';
import type {
  EndpointView,
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
  PlacementTableView,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { VersionName } from '../../core/ids.js';
import {
  applyNewSequence,
  applyUnknownSequences,
  clearMemoryChange,
  createMemoryChange,
  estimateMemory,
  mergeMemoryChange,
} from '../survival/forecast.js';
import type { MemoryBudget, MemoryChange, MemoryPrediction } from '../survival/forecast.js';
import type { SurvivalView } from '../survival/types.js';

export type HeadroomPolicy = Extract<PlacementPolicy, { readonly kind: 'predicted-headroom' }>;

/** An endpoint checked for a request, and whether the request fits its predicted memory. */
export interface CandidateCheck {
  readonly view: EndpointView;
  readonly candidate: PlacementCandidate;
  /** Whether the predicted overflow probability permits the request. */
  readonly room: 'fits' | 'too-full';
  /** Score bonus of the cached prefix, as a share of memory. */
  readonly prefixBonus: number;
}

/** Inputs shared by all endpoint checks of one decision. */
export interface HeadroomInputs {
  readonly policy: HeadroomPolicy;
  readonly request: PlacementRequest;
  readonly placements: PlacementTableView;
  readonly survival: SurvivalView;
  /** Predicted memory change by the request itself, by endpoint version. */
  readonly requestChanges: Map<VersionName, MemoryChange>;
  /** Buffer reused for every endpoint, since a decision must not allocate per candidate. */
  readonly scratch: MemoryChange;
}

/**
 * Builds the inputs of one decision.
 *
 * @param policy - horizon, bounds and weights
 * @param request - request to place
 * @param placements - this daemon's placements
 * @param survival - output length estimates
 * @returns inputs that are valid for this decision only
 */
export const buildInputs = (
  policy: HeadroomPolicy,
  request: PlacementRequest,
  placements: PlacementTableView,
  survival: SurvivalView,
): HeadroomInputs => ({
  policy,
  request,
  placements,
  survival,
  requestChanges: new Map(),
  scratch: createMemoryChange(),
});

const computeHorizonTokens = (endpoint: EndpointView, horizonMs: Millis): number => {
  const perSequence =
    endpoint.running > 0 && endpoint.tokensPerSecond > 0
      ? endpoint.tokensPerSecond / endpoint.running
      : DEFAULT_SEQUENCE_TOKENS_PER_SECOND;
  return (perSequence * horizonMs) / 1_000;
};

/** Returns the request's own memory change, cached per version since it depends on nothing else. */
const getRequestChange = (inputs: HeadroomInputs, version: VersionName): MemoryChange => {
  const known = inputs.requestChanges.get(version);
  if (known !== undefined) return known;
  const { targets, customer, promptTokens } = inputs.request;
  const curve = inputs.survival.getCurve({ className: targets.className, customer, version });
  const change = createMemoryChange();
  applyNewSequence(change, curve, promptTokens);
  inputs.requestChanges.set(version, change);
  return change;
};

const estimateEndpointMemory = (
  inputs: HeadroomInputs,
  endpoint: EndpointView,
): MemoryPrediction => {
  const { request, survival, scratch } = inputs;
  const load = inputs.placements.getLoad(endpoint.endpoint);
  const growthSinceReport =
    (endpoint.tokensPerSecond * Math.min(endpoint.loadAgeMs, MAX_EXTRAPOLATION_MS)) / 1_000;
  const usedTokens = Math.max(0, endpoint.memoryUsedTokens - (load?.endedTokens ?? 0));
  clearMemoryChange(scratch);
  mergeMemoryChange(scratch, getRequestChange(inputs, endpoint.version ?? ''));
  if (load !== undefined) mergeMemoryChange(scratch, load.change);
  const unknownCount = endpoint.running - (load?.includedCount ?? 0) - (load?.endedCount ?? 0);
  if (unknownCount > 0) {
    const tokens = Math.max(0, usedTokens - (load?.includedTokens ?? 0));
    applyUnknownSequences(scratch, survival, unknownCount, tokens / unknownCount);
  }
  // Preempted sequences use no memory now, but reclaim it before new sequences start.
  const preemptedTokens = (endpoint.waiting * usedTokens) / Math.max(1, endpoint.running);
  const budget: MemoryBudget = {
    used: usedTokens + growthSinceReport + preemptedTokens + (load?.newTokens ?? 0),
    total: computeClassMemory(endpoint.memoryTotalTokens, request.targets),
    horizonTokens: computeHorizonTokens(endpoint, inputs.policy.horizonMs),
  };
  return estimateMemory(budget, scratch);
};

const computePrefixBonus = (inputs: HeadroomInputs, endpoint: EndpointView): number => {
  const { prefix } = inputs.request;
  if (prefix === undefined || !endpoint.prefixes.has(prefix)) return 0;
  const freshness = Math.exp(-endpoint.prefixAgeMs / PREFIX_DECAY_MS);
  return inputs.policy.prefixWeight * freshness * PREFIX_GAP_FACTOR ** endpoint.prefixGaps;
};

const computeScore = (
  inputs: HeadroomInputs,
  endpoint: EndpointView,
  requests: number,
  memory: MemoryPrediction,
): number => {
  const localityBonus =
    endpoint.dataCentre === inputs.request.dataCentre ? SAME_DATA_CENTRE_BONUS : 0;
  const freeSlots = 1 - (requests + 1) / endpoint.limit;
  switch (inputs.request.targets.answerLength) {
    case 'short':
      // A short answer ends before memory fills up; its latency depends on the requests ahead.
      return localityBonus + freeSlots;
    case 'long':
      return localityBonus + memory.headroom;
    default:
      return assertNever(inputs.request.targets.answerLength);
  }
};

/**
 * Predicts an endpoint's memory with a request added, and scores the endpoint.
 *
 * @param inputs - request, policy and estimates
 * @param endpoint - endpoint with a free slot
 * @param requests - current number of requests at the endpoint
 * @returns the scored candidate, and whether the request fits
 */
export const checkEndpoint = (
  inputs: HeadroomInputs,
  endpoint: EndpointView,
  requests: number,
): CandidateCheck => {
  const memory: MemoryPrediction =
    endpoint.memoryTotalTokens > 0
      ? estimateEndpointMemory(inputs, endpoint)
      : { overflowProbability: 0, headroom: 1 - (requests + 1) / endpoint.limit };
  const accepted = computeAcceptedOverflow(
    inputs.request.targets,
    inputs.policy.overflowProbability,
  );
  const prefixBonus = computePrefixBonus(inputs, endpoint);
  return {
    view: endpoint,
    candidate: {
      endpoint: endpoint.endpoint,
      score: computeScore(inputs, endpoint, requests, memory) + prefixBonus,
      requests,
      overflowProbability: memory.overflowProbability,
      headroom: memory.headroom,
    },
    // An idle engine accepts any request; otherwise one that is too long would wait forever.
    room: requests === 0 || memory.overflowProbability <= accepted ? 'fits' : 'too-full',
    prefixBonus,
  };
};
