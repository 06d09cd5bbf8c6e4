import { FIXED_STALL_TOKENS, MAX_STALL_WEIGHT, STALL_WEIGHTS } from './constants.js';
import type { MemoryHolder, PreemptionDecision, PreemptionInputs, PriorityOrder } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { DEFAULT_SEQUENCE_TOKENS_PER_SECOND } from '../placement/constants.js';
import type { ClassTargets } from '../placement/types.js';
import { applySequence, createMemoryChange, estimateMemory } from '../survival/forecast.js';
import type { SurvivalKey } from '../survival/types.js';

/**
 * Returns what a stall of a class costs.
 *
 * @param targets - class
 * @returns weight; an operator's own value goes before the one by importance and length
 */
export const getStallWeight = (targets: ClassTargets): number =>
  targets.stallWeight ?? STALL_WEIGHTS[targets.importance][targets.answerLength];

/**
 * Computes the priority number that an engine gets with a request, so that its own preemptions hit
 * the class whose stalls cost least.
 *
 * @param targets - class of the request
 * @param order - how the engine orders the numbers
 * @returns whole number, at least 0 up to the largest stall weight
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
 * Computes what giving a sequence up costs per token of memory and time that it frees. A sequence
 * near its end frees its memory by itself, so it is dear; a short one with much left is cheap.
 *
 * @param holder - sequence
 * @param inputs - length estimates
 * @returns cost, larger for sequences to keep
 */
export const computePreemptionCost = (holder: MemoryHolder, inputs: PreemptionInputs): number => {
  const remaining = inputs.survival.estimateRemaining(toKey(holder), holder.generated);
  const size = getSize(holder);
  const freed = size * remaining.mean + (remaining.variance + remaining.mean ** 2) / 2;
  return (getStallWeight(holder.targets) * (FIXED_STALL_TOKENS + size)) / Math.max(1, freed);
};

/**
 * Decides which running sequences to give up when the engine's memory will probably overflow.
 *
 * @param inputs - memory, horizon and length estimates
 * @param holders - sequences that run at the engine
 * @returns nothing, or the cheapest sequences whose memory averts the overflow
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
  let kept = holders;
  let { usedTokens } = inputs;
  const requestIds: string[] = [];
  for (const { holder } of byCost) {
    requestIds.push(holder.requestId);
    kept = kept.filter((item) => item !== holder);
    usedTokens -= getSize(holder);
    if (estimateOverflow({ ...inputs, usedTokens }, kept) <= inputs.overflowProbability) {
      return { kind: 'preempt', requestIds, outcome: 'enough' };
    }
  }
  if (requestIds.length === 0) return { kind: 'keep' };
  return { kind: 'preempt', requestIds, outcome: 'not-enough' };
};
