import { computeSurvival } from './hazard.js';
import type { HazardCurve, SurvivalView } from './types.js';

/**
 * Forecast steps: tokens per sequence after which memory use is predicted. Between two steps the
 * batch changes little compared with the spread of the prediction.
 */
export const FORECAST_STEPS_TOKENS: readonly number[] = [16, 64, 256, 1_024, 4_096];

/** Lower bound that keeps the logarithm of a survival probability of 0 finite. */
const MIN_SURVIVAL = 1e-12;

/** Predicted change of memory use at each forecast step, in tokens: sums over sequences. */
export interface MemoryChange {
  readonly mean: Float64Array;
  readonly variance: Float64Array;
  /** Third central moments. */
  readonly thirdMoment: Float64Array;
  /** Change if no sequence ends before the step. */
  readonly fullGrowth: Float64Array;
  /** Logarithm of the probability that no sequence ends before the step. */
  readonly logSurvival: Float64Array;
}

/** Memory of an engine, in tokens, against which a predicted change is checked. */
export interface MemoryBudget {
  readonly used: number;
  readonly total: number;
  /** Tokens that one sequence produces within the horizon. */
  readonly horizonTokens: number;
}

/** Result of a memory prediction. */
export interface MemoryPrediction {
  /** Highest probability of a memory overflow over the steps within the horizon. */
  readonly overflowProbability: number;
  /** Lowest expected free share of memory over the same steps; negative on overflow. */
  readonly headroom: number;
}

/** Creates a memory change of zero. */
export const createMemoryChange = (): MemoryChange => ({
  mean: new Float64Array(FORECAST_STEPS_TOKENS.length),
  variance: new Float64Array(FORECAST_STEPS_TOKENS.length),
  thirdMoment: new Float64Array(FORECAST_STEPS_TOKENS.length),
  fullGrowth: new Float64Array(FORECAST_STEPS_TOKENS.length),
  logSurvival: new Float64Array(FORECAST_STEPS_TOKENS.length),
});

/** Resets a memory change to zero, in place. */
export const clearMemoryChange = (change: MemoryChange): void => {
  change.mean.fill(0);
  change.variance.fill(0);
  change.thirdMoment.fill(0);
  change.fullGrowth.fill(0);
  change.logSurvival.fill(0);
};

const applyOutcome = (
  change: MemoryChange,
  step: number,
  survival: number,
  changeIfAlive: number,
  changeIfEnded: number,
  count: number,
): void => {
  const spread = changeIfAlive - changeIfEnded;
  const variance = count * survival * (1 - survival) * spread * spread;
  change.mean[step] = (change.mean[step] ?? 0) + count * (changeIfEnded + survival * spread);
  change.variance[step] = (change.variance[step] ?? 0) + variance;
  change.thirdMoment[step] =
    (change.thirdMoment[step] ?? 0) + variance * (1 - 2 * survival) * spread;
  change.fullGrowth[step] = (change.fullGrowth[step] ?? 0) + count * changeIfAlive;
  // The logarithm of 0 is -Infinity, which could not be subtracted from the sum again.
  change.logSurvival[step] =
    (change.logSurvival[step] ?? 0) + count * Math.log(Math.max(survival, MIN_SURVIVAL));
};

/**
 * Adds a running sequence: its memory grows while it runs and is freed when it ends.
 *
 * @param change - sums, updated in place
 * @param curve - hazard curve of the sequence's key
 * @param generated - tokens generated so far
 * @param size - memory in use now, in tokens
 */
export const applySequence = (
  change: MemoryChange,
  curve: HazardCurve,
  generated: number,
  size: number,
): void => {
  FORECAST_STEPS_TOKENS.forEach((tokens, step) => {
    applyOutcome(change, step, computeSurvival(curve, generated, tokens), tokens, -size, 1);
  });
};

/**
 * Adds a request that uses no memory yet; its prompt occupies memory while it runs.
 *
 * @param change - sums, updated in place
 * @param curve - hazard curve of the sequence's key
 * @param promptTokens - length of the prompt
 */
export const applyNewSequence = (
  change: MemoryChange,
  curve: HazardCurve,
  promptTokens: number,
): void => {
  FORECAST_STEPS_TOKENS.forEach((tokens, step) => {
    const alive = computeSurvival(curve, 0, tokens);
    applyOutcome(change, step, alive, promptTokens + tokens, 0, 1);
  });
};

/**
 * Adds running sequences of which only the number and the mean memory are known.
 *
 * @param change - sums, updated in place
 * @param survival - output length estimates
 * @param count - number of sequences; nothing is added unless positive
 * @param size - mean memory per sequence, in tokens
 */
export const applyUnknownSequences = (
  change: MemoryChange,
  survival: SurvivalView,
  count: number,
  size: number,
): void => {
  if (count <= 0) return;
  FORECAST_STEPS_TOKENS.forEach((tokens, step) => {
    applyOutcome(change, step, survival.estimateUnknownSurvival(tokens), tokens, -size, count);
  });
};

/**
 * Adds one memory change to another, or subtracts it.
 *
 * @param target - updated in place
 * @param other - change to add
 * @param sign - 1 to add `other`, -1 to subtract it
 */
export const mergeMemoryChange = (
  target: MemoryChange,
  other: MemoryChange,
  sign: 1 | -1 = 1,
): void => {
  for (let step = 0; step < FORECAST_STEPS_TOKENS.length; step += 1) {
    target.mean[step] = (target.mean[step] ?? 0) + sign * (other.mean[step] ?? 0);
    target.variance[step] = Math.max(
      0,
      (target.variance[step] ?? 0) + sign * (other.variance[step] ?? 0),
    );
    target.thirdMoment[step] =
      (target.thirdMoment[step] ?? 0) + sign * (other.thirdMoment[step] ?? 0);
    target.fullGrowth[step] = (target.fullGrowth[step] ?? 0) + sign * (other.fullGrowth[step] ?? 0);
    target.logSurvival[step] =
      (target.logSurvival[step] ?? 0) + sign * (other.logSurvival[step] ?? 0);
  }
};

const computeNormalDensity = (z: number): number => Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI);

/**
 * Computes the upper tail probability of the standard normal distribution.
 *
 * @param z - standard score
 * @returns probability of a larger score; absolute error below 1e-7 (Abramowitz and Stegun 26.2.17)
 */
export const computeNormalTail = (z: number): number => {
  if (z < 0) return 1 - computeNormalTail(-z);
  const k = 1 / (1 + 0.2316419 * z);
  const series =
    k *
    (0.31938153 + k * (-0.356563782 + k * (1.781477937 + k * (-1.821255978 + k * 1.330274429))));
  return computeNormalDensity(z) * series;
};

/**
 * Estimates the overflow probability at one step by a normal approximation with an Edgeworth
 * correction for skewness. The sum is skewed because sequences usually grow a little and rarely end
 * and free a lot. The approximation is poor for few sequences, so the probability that no sequence
 * ends serves as a lower bound when their combined growth does not fit.
 */
const estimateStep = (free: number, change: MemoryChange, step: number): number => {
  const deviation = Math.sqrt(change.variance[step] ?? 0) + 1;
  const z = (free - (change.mean[step] ?? 0)) / deviation;
  const skewness = (change.thirdMoment[step] ?? 0) / deviation ** 3;
  const correction = (computeNormalDensity(z) * skewness * (z * z - 1)) / 6;
  const tail = Math.min(1, Math.max(0, computeNormalTail(z) + correction));
  if ((change.fullGrowth[step] ?? 0) <= free) return tail;
  return Math.max(tail, Math.exp(Math.min(0, change.logSurvival[step] ?? 0)));
};

/**
 * Predicts whether memory overflows within the horizon.
 *
 * @param budget - current memory use, and horizon
 * @param change - sums over the sequences, including the request under decision
 * @returns overflow probability and expected headroom
 */
export const estimateMemory = (budget: MemoryBudget, change: MemoryChange): MemoryPrediction => {
  const free = budget.total - budget.used;
  let overflowProbability = free < 0 ? 1 : 0;
  let headroom = free / budget.total;
  for (let step = 0; step < FORECAST_STEPS_TOKENS.length; step += 1) {
    const tokens = FORECAST_STEPS_TOKENS[step] ?? 0;
    if (step > 0 && tokens > budget.horizonTokens) break;
    overflowProbability = Math.max(overflowProbability, estimateStep(free, change, step));
    headroom = Math.min(headroom, (free - (change.mean[step] ?? 0)) / budget.total);
  }
  return { overflowProbability, headroom };
};
