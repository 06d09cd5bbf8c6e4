import { EARLY_FAULT_WEIGHT, FALSE_ALARM_RATE, MAX_CELLS, ODDS_RATIOS } from './constants.js';

/** Faults among answers. */
export interface Tally {
  readonly answers: number;
  readonly faults: number;
}

/**
 * Test martingale for "the new version is worse", safe under looking at any time. For each odds
 * ratio it keeps the weighted sum, over the possible instants at which a fault began, of the
 * likelihood ratios since then. If the new version is not worse, the mean of the whole stays at
 * most 1, so it ever exceeds 1/a with a probability of at most a (Ville's inequality).
 */
export interface SequentialTest {
  /** Logarithm of the sum over instants that have passed, by odds ratio. */
  readonly logSums: readonly number[];
  /** Weight of the instants that have not passed. */
  readonly remainingWeight: number;
}

/** Evidence, as a logarithm, at which a fault is clear: a Bonferroni share of the false alarms. */
export const SIGNIFICANT_LOG_EVIDENCE = Math.log((4 * MAX_CELLS) / FALSE_ALARM_RATE);

/**
 * Creates a test that has seen nothing.
 *
 * @returns a test with the weight of early faults in it
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
 * Adds one look to a test.
 *
 * @param test - test before the look
 * @param logFactors - logarithm of the likelihood ratio of the look, by odds ratio
 * @param weight - weight of a fault that began just before this look
 * @returns the test after it
 */
export const updateSequentialTest = (
  test: SequentialTest,
  logFactors: readonly number[],
  weight: number,
): SequentialTest => {
  const usedWeight = Math.min(test.remainingWeight, weight);
  const logSums = test.logSums.map(
    (logSum, index) => computeLogSumExp(logSum, Math.log(usedWeight)) + (logFactors[index] ?? 0),
  );
  return { logSums, remainingWeight: test.remainingWeight - usedWeight };
};

/**
 * Computes the evidence against the new version.
 *
 * @param test - test to read
 * @returns logarithm of the evidence ratio; 0 without evidence
 */
export const computeLogEvidence = (test: SequentialTest): number =>
  test.logSums.reduce(
    (sum, logSum) => computeLogSumExp(sum, logSum - Math.log(ODDS_RATIOS.length)),
    Math.log(test.remainingWeight),
  );

/** Sum above which partial sums are scaled down, far below the largest number. */
const SCALE_LIMIT = 1e150;

/**
 * Computes how much better an odds ratio explains which version the faults fell on than chance
 * does, given the number of faults and answers (Fisher's noncentral hypergeometric distribution).
 * The rate of faults itself cancels, so that faults of both versions prove nothing.
 *
 * @param newTally - answers of the new version
 * @param oldTally - answers of the old version in the same time and place
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
 * Computes how much better an odds ratio explains the faults than a given rate does.
 *
 * @param tally - answers of the new version
 * @param rate - largest rate of faults that is no fault of the version
 * @param oddsRatio - odds ratio to that rate
 * @returns logarithm of the likelihood ratio
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

/** Halvings of the search interval; enough for a precision of one in a million. */
const BISECTION_STEPS = 24;

/**
 * Computes an upper bound of a rate that holds at all times together with the probability
 * `1 - FALSE_ALARM_RATE / MAX_CELLS` (mixture of likelihoods with a uniform prior).
 *
 * @param tally - faults among answers
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
