import { DEFAULT_GAP_MS, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS } from './constants.js';
import { countUnconfirmed, getLimit } from './decideLimit.js';
import type {
  AdmissionContext,
  AdmissionRequest,
  AdmissionState,
  AdmitDecision,
  RunningSequence,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import {
  computeAcceptedOverflow,
  computeClassLimit,
  computeClassMemory,
} from '../placement/classBounds.js';
import {
  applyNewSequence,
  applySequence,
  createMemoryChange,
  estimateMemory,
} from '../survival/forecast.js';
import { computeQuantile } from '../survival/hazard.js';
import type { SurvivalKey, SurvivalView } from '../survival/types.js';

const toKey = (request: AdmissionRequest): SurvivalKey => ({
  className: request.targets.className,
  customer: request.customer,
  version: request.version,
});

const getSize = (sequence: RunningSequence): number => sequence.promptTokens + sequence.generated;

/**
 * Returns the memory that the admitted sequences need, in tokens. The load page includes neither
 * prompts that arrived after it was read nor sequences that the engine preempted, which reclaim
 * their memory before new sequences start.
 */
const countNeededTokens = (state: AdmissionState): number => {
  let admitted = 0;
  let unreported = 0;
  for (const sequence of state.running.values()) {
    admitted += getSize(sequence);
    if (sequence.engine === 'unconfirmed') unreported += getSize(sequence);
  }
  return Math.max(admitted, state.memory.usedTokens + unreported);
};

/**
 * Estimates the probability that the engine's memory overflows if a request is admitted.
 *
 * @param state - running sequences and memory
 * @param request - request under decision
 * @param context - settings with the horizon, and length estimates
 * @returns probability in [0, 1]; 0 for plain services
 */
export const estimateOverflow = (
  state: AdmissionState,
  request: AdmissionRequest,
  context: AdmissionContext,
): number => {
  const { totalTokens, tokensPerSecond } = state.memory;
  if (totalTokens === 0) return 0;
  const change = createMemoryChange();
  for (const sequence of state.running.values()) {
    const curve = context.survival.getCurve(toKey(sequence));
    applySequence(change, curve, sequence.generated, getSize(sequence));
  }
  applyNewSequence(change, context.survival.getCurve(toKey(request)), request.promptTokens);
  const perSequence =
    tokensPerSecond > 0 && state.running.size > 0
      ? tokensPerSecond / state.running.size
      : 1_000 / DEFAULT_GAP_MS;
  const budget = {
    used: countNeededTokens(state),
    total: computeClassMemory(totalTokens, request.targets),
    horizonTokens: (perSequence * context.settings.horizonMs) / 1_000,
  };
  return estimateMemory(budget, change).overflowProbability;
};

/**
 * Reports whether the engine has enough memory for a request. An idle engine accepts any request
 * that fits now; otherwise one with a long predicted output would wait forever.
 */
const hasMemory = (
  state: AdmissionState,
  request: AdmissionRequest,
  context: AdmissionContext,
): boolean => {
  const { settings } = context;
  if (state.running.size === 0) return true;
  switch (settings.memoryBound) {
    case 'none':
      return true;
    case 'predicted': {
      const accepted = computeAcceptedOverflow(request.targets, settings.overflowProbability);
      return estimateOverflow(state, request, context) <= accepted;
    }
    default:
      return assertNever(settings.memoryBound);
  }
};

const estimateRetryAfter = (state: AdmissionState, survival: SurvivalView): Millis => {
  let fewest = Infinity;
  for (const sequence of state.running.values()) {
    const curve = survival.getCurve(toKey(sequence));
    fewest = Math.min(fewest, computeQuantile(curve, sequence.generated, 0.5));
  }
  const wait = fewest * (state.gaps.recentMs ?? DEFAULT_GAP_MS);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait)));
};

const buildRefusal = (message: string, retryAfterMs: Millis): AdmitDecision => ({
  kind: 'refuse',
  failure: createFailure('not-run', 'overloaded', message, retryAfterMs),
});

/**
 * Decides whether the endpoint daemon admits a request. The caller must report an admitted request
 * to `decideLimit` with an `admitted` event before the next decision.
 *
 * @param state - admission state
 * @param request - request under decision
 * @param context - settings and length estimates
 * @returns admission, or a refusal with verdict `not-run`
 */
export const decideAdmit = (
  state: AdmissionState,
  request: AdmissionRequest,
  context: AdmissionContext,
): AdmitDecision => {
  const { settings, survival } = context;
  const { totalTokens } = state.memory;
  const limit = getLimit(state);
  if (limit === 0) return buildRefusal('the engine identity is not confirmed', MIN_RETRY_AFTER_MS);
  if (totalTokens > 0 && request.promptTokens >= totalTokens) {
    const message = `the prompt needs more than the engine's ${totalTokens.toString()} tokens`;
    return { kind: 'refuse', failure: createFailure('not-run', 'too-large', message) };
  }
  if (state.running.size >= computeClassLimit(limit, request.targets)) {
    const message = `the limit of ${limit.toString()} sequences is reached`;
    return buildRefusal(message, estimateRetryAfter(state, survival));
  }
  if (countUnconfirmed(state) >= settings.maxUnconfirmed) {
    return buildRefusal('the limit of unconfirmed sequences is reached', MIN_RETRY_AFTER_MS);
  }
  return hasMemory(state, request, context)
    ? { kind: 'admit' }
    : buildRefusal('memory would overflow', estimateRetryAfter(state, survival));
};
