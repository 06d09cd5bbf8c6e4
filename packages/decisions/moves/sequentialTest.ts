import { EARLY_FAULT_WEIGHT, FALSE_ALARM_RATE, MAX_CELLS, ODDS_RATIOS } from './constants.js';

/** Number of answers, and of the faults among them. */
export interface Tally {
  readonly answers: number;
  readonly faults: number;
}

/**
 * Test martingale for "the new version is worse", valid however often it is evaluated. For each
 * odds ratio it keeps the weighted sum, over the possible start times of a fault, of the likelihood
 * ratio since then. If the new version is not worse, the expectation of the total stays at most 1,
 * so the total ever exceeds 1/a with a probability of at most a (Ville's inequality).
 */
export interface SequentialTest {
  /** Logarithm of the weighted sum over start times that have passed, by odds ratio. */
  readonly logSums: readonly number[];
  /** Prior weight of the start times that have not passed. */
  readonly remainingWeight: number;
}

/** Log evidence of a significant fault, with a Bonferroni correction for four tests per cell. */
export const SIGNIFICANT_LOG_EVIDENCE = Math.log((4 * MAX_CELLS) / FALSE_ALARM_RATE);

/**
 * Creates a test without observations.
 *
 * @returns a test that holds the prior weight of faults present from the start
 */
export const initSequentialTest = (): SequentialTest => ({
  logSums: ODDS_RATIOS.map(() => Math.log(EARLY_FAULT_WEIGHT)),
  remainingWeight: 1 - EARLY_FAULT_WEIGHT,
});

const computeLogSumExp = (left: number, right: number): number => {
  const larger = Math.max(left, right);
  return larger === -Infinity ? larger : larger + Math.log1p(Math.exp(-Math.abs(left - right)));
};

/**
 * Adds the observations of one evaluation to a test.
 *
 * @param test - test before the evaluation
 * @param logRatios - logarithm of the likelihood ratio of the observations, by odds ratio
 * @param weight - prior weight of a fault that began just before these observations
 * @returns the test after the evaluation
 */
export const updateSequentialTest = (
  test: SequentialTest,
  logRatios: readonly number[],
  weight: number,
): SequentialTest => {
  const usedWeight = Math.min(test.remainingWeight, weight);
  const logSums = test.logSums.map(
    (logSum, index) => computeLogSumExp(logSum, Math.log(usedWeight)) + (logRatios[index] ?? 0),
  );
  return { logSums, remainingWeight: test.remainingWeight - usedWeight };
};

/**
 * Computes the evidence against the new version, averaged over the odds ratios.
 *
 * @param test - test of the new version
 * @returns logarithm of the evidence ratio; 0 without evidence
 */
export const computeLogEvidence = (test: SequentialTest): number =>
  test.logSums.reduce(
    (sum, logSum) => computeLogSumExp(sum, logSum - Math.log(ODDS_RATIOS.length)),
    Math.log(test.remainingWeight),
  );

/** Bound above which partial sums are scaled down, well below the largest finite number. */
const SCALE_LIMIT = 1e150;

/**
 * Computes the likelihood ratio of an odds ratio against equal versions, for the way the faults are
 * split between them, given the numbers of faults and answers (Fisher's noncentral hypergeometric
 * distribution). The fault rate itself cancels out, so faults that affect both versions alike are
 * no evidence.
 *
 * @param newTally - answers of the new version
 * @param oldTally - answers of the old version in the same period and cell
 * @param oddsRatio - odds ratio of new to old
 * @returns logarithm of the likelihood ratio
 */
export const computeConcurrentLogRatio = (
  newTally: Tally,
  oldTally: Tally,
  oddsRatio: number,
): number => {
  const faults = newTally.faults + oldTally.faults;
  if (faults === 0 || newTally.answers === 0 || oldTally.answers === 0) return 0;
  const minFaults = Math.max(0, faults - oldTally.answers);
  const maxFaults = Math.min(faults, newTally.answers);
  let nullTerm = 1;
  let nullSum = 1;
  let oddsTerm = 1;
  let oddsSum = 1;
  let logScale = 0;
  for (let count = minFaults; count < maxFaults; count += 1) {
    const ratio =
      ((faults - count) * (newTally.answers - count)) /
      ((count + 1) * (oldTally.answers - faults + count + 1));
    nullTerm *= ratio;
    nullSum += nullTerm;
    oddsTerm *= ratio * oddsRatio;
    oddsSum += oddsTerm;
    if (nullSum > SCALE_LIMIT) {
      logScale += Math.log(SCALE_LIMIT);
      nullTerm /= SCALE_LIMIT;
      nullSum /= SCALE_LIMIT;
    }
    if (oddsSum > SCALE_LIMIT) {
      logScale -= Math.log(SCALE_LIMIT);
      oddsTerm /= SCALE_LIMIT;
      oddsSum /= SCALE_LIMIT;
    }
  }
  const observed = (newTally.faults - minFaults) * Math.log(oddsRatio);
  return observed + Math.log(nullSum) - Math.log(oddsSum) + logScale;
};

/**
 * Computes the likelihood ratio of an odds ratio against a given fault rate.
 *
 * @param tally - answers of the new version
 * @param rate - largest fault rate that does not count against the version
 * @param oddsRatio - odds ratio relative to that rate
 * @returns logarithm of the likelihood ratio; 0 for a rate outside (0, 1)
 */
export const computeHistoricalLogRatio = (
  tally: Tally,
  rate: number,
  oddsRatio: number,
): number => {
  if (rate >= 1 || rate <= 0) return 0;
  const worseRate = (oddsRatio * rate) / (1 - rate + oddsRatio * rate);
  const good = tally.answers - tally.faults;
  return tally.faults * Math.log(worseRate / rate) + good * Math.log((1 - worseRate) / (1 - rate));
};

const computeKlDivergence = (left: number, right: number): number => {
  const hit = left === 0 ? 0 : left * Math.log(left / right);
  const miss = left === 1 ? 0 : (1 - left) * Math.log((1 - left) / (1 - right));
  return hit + miss;
};

/** Bisections of the search interval; enough for a precision of one in a million. */
const BISECTION_STEPS = 24;

/**
 * Computes an upper confidence bound of a fault rate that holds at all evaluations simultaneously
 * with a probability of `1 - FALSE_ALARM_RATE / MAX_CELLS` (likelihood mixture with a uniform
 * prior).
 *
 * @param tally - faults and answers
 * @returns the bound; 1 without answers
 */
export const computeRateUpperBound = ({ answers, faults }: Tally): number => {
  if (answers <= 0) return 1;
  const observed = faults / answers;
  const limit = Math.log(((answers + 1) * MAX_CELLS) / FALSE_ALARM_RATE);
  let low = observed;
  let high = 1;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (answers * computeKlDivergence(observed, middle) < limit) low = middle;
    else high = middle;
  }
  return high;
};
