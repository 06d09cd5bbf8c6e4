import { FIXED_STALL_TOKENS, MAX_STALL_WEIGHT, STALL_WEIGHTS } from './constants.js';
import type { MemoryHolder, PreemptionDecision, PreemptionInputs, PriorityOrder } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { DEFAULT_SEQUENCE_TOKENS_PER_SECOND } from '../placement/constants.js';
import type { ClassTargets } from '../placement/types.js';
import { applySequence, createMemoryChange, estimateMemory } from '../survival/forecast.js';
import type { SurvivalKey } from '../survival/types.js';

/**
 * Returns the relative cost of a stall for a class.
 *
 * @param targets - class of the request
 * @returns the operator's weight if set, otherwise the default by importance and answer length
 */
export const getStallWeight = (targets: ClassTargets): number =>
  targets.stallWeight ?? STALL_WEIGHTS[targets.importance][targets.answerLength];

/**
 * Computes the priority number sent to the engine with a request, so that the engine's own
 * preemptions affect the classes whose stalls cost least.
 *
 * @param targets - class of the request
 * @param order - which priority numbers the engine serves first
 * @returns integer from 0 to the highest stall weight
 */
export const computePriority = (targets: ClassTargets, order: PriorityOrder): number => {
  const weight = Math.round(Math.min(MAX_STALL_WEIGHT, Math.max(0, getStallWeight(targets))));
  switch (order) {
    case 'lower-first':
      return MAX_STALL_WEIGHT - weight;
    case 'higher-first':
      return weight;
    default:
      return assertNever(order);
  }
};

const toKey = (holder: MemoryHolder): SurvivalKey => ({
  className: holder.targets.className,
  customer: holder.customer,
  version: holder.version,
});

const getSize = (holder: MemoryHolder): number => holder.promptTokens + holder.generated;

const estimateOverflow = (inputs: PreemptionInputs, holders: readonly MemoryHolder[]): number => {
  const change = createMemoryChange();
  for (const holder of holders) {
    applySequence(
      change,
      inputs.survival.getCurve(toKey(holder)),
      holder.generated,
      getSize(holder),
    );
  }
  const perSequence =
    inputs.tokensPerSecond > 0 && holders.length > 0
      ? inputs.tokensPerSecond / holders.length
      : DEFAULT_SEQUENCE_TOKENS_PER_SECOND;
  const horizonTokens = (perSequence * inputs.horizonMs) / 1_000;
  const budget = { used: inputs.usedTokens, total: inputs.totalTokens, horizonTokens };
  return estimateMemory(budget, change).overflowProbability;
};

/**
 * Computes the cost of preempting a sequence, relative to the memory that this frees over the
 * sequence's remaining run. Preempting a sequence near its end is expensive, since it would soon
 * free its memory anyway; preempting a short one with much left to generate is cheap.
 *
 * @param holder - sequence to preempt
 * @param inputs - length estimates
 * @returns cost; higher for sequences that should keep running
 */
export const computePreemptionCost = (holder: MemoryHolder, inputs: PreemptionInputs): number => {
  const remaining = inputs.survival.estimateRemaining(toKey(holder), holder.generated);
  const size = getSize(holder);
  const freed = size * remaining.mean + (remaining.variance + remaining.mean ** 2) / 2;
  return (getStallWeight(holder.targets) * (FIXED_STALL_TOKENS + size)) / Math.max(1, freed);
};

/**
 * Decides which running sequences to preempt when the engine's memory will probably overflow.
 *
 * @param inputs - memory, horizon, accepted overflow probability and length estimates
 * @param holders - sequences running on the engine
 * @returns `keep`, or the restartable sequences to preempt in order of cost, until the overflow is
 *   averted or none is left
 */
export const decidePreemption = (
  inputs: PreemptionInputs,
  holders: readonly MemoryHolder[],
): PreemptionDecision => {
  if (estimateOverflow(inputs, holders) <= inputs.overflowProbability) return { kind: 'keep' };
  const byCost = holders
    .filter((holder) => holder.preemptibility === 'restartable')
    .map((holder) => ({ holder, cost: computePreemptionCost(holder, inputs) }))
    .sort((left, right) => left.cost - right.cost);
  let remainingHolders = holders;
  let { usedTokens } = inputs;
  const requestIds: string[] = [];
  for (const { holder } of byCost) {
    requestIds.push(holder.requestId);
    remainingHolders = remainingHolders.filter((item) => item !== holder);
    usedTokens -= getSize(holder);
    if (
      estimateOverflow({ ...inputs, usedTokens }, remainingHolders) <= inputs.overflowProbability
    ) {
      return { kind: 'preempt', requestIds, outcome: 'enough' };
    }
  }
  if (requestIds.length === 0) return { kind: 'keep' };
  return { kind: 'preempt', requestIds, outcome: 'not-enough' };
};
