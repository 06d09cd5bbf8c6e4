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
  readonly logStarted: readonly number[];
  /** Weight of the instants that have not passed. */
  readonly unspent: number;
}

/** Evidence, as a logarithm, at which a fault is clear: a Bonferroni share of the false alarms. */
export const CLEAR_LOG_RATIO = Math.log((4 * MAX_CELLS) / FALSE_ALARM_RATE);

/**
 * Creates a test that has seen nothing.
 *
 * @returns a test with the weight of early faults in it
 */
export const initSequentialTest = (): SequentialTest => ({
  logStarted: ODDS_RATIOS.map(() => Math.log(EARLY_FAULT_WEIGHT)),
  unspent: 1 - EARLY_FAULT_WEIGHT,
});

const addLogs = (left: number, right: number): number => {
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
  const spent = Math.min(test.unspent, weight);
  const logStarted = test.logStarted.map(
    (started, index) => addLogs(started, Math.log(spent)) + (logFactors[index] ?? 0),
  );
  return { logStarted, unspent: test.unspent - spent };
};

/**
 * Computes the evidence against the new version.
 *
 * @param test - test to read
 * @returns logarithm of the evidence ratio; 0 without evidence
 */
export const computeLogRatio = (test: SequentialTest): number =>
  test.logStarted.reduce(
    (sum, started) => addLogs(sum, started - Math.log(ODDS_RATIOS.length)),
    Math.log(test.unspent),
  );

/** Sum above which partial sums are scaled down, far below the largest number. */
const SCALE_LIMIT = 1e150;

/**
 * Computes how much better an odds ratio explains which version the faults fell on than chance
 * does, given the number of faults and answers (Fisher's noncentral hypergeometric distribution).
 * The rate of faults itself cancels, so that faults of both versions prove nothing.
 *
 * @param fresh - answers of the new version
 * @param old - answers of the old version in the same time and place
 * @param oddsRatio - odds ratio of new to old
 * @returns logarithm of the likelihood ratio
 */
export const computePresentFactor = (fresh: Tally, old: Tally, oddsRatio: number): number => {
  const faults = fresh.faults + old.faults;
  if (faults === 0 || fresh.answers === 0 || old.answers === 0) return 0;
  const fewest = Math.max(0, faults - old.answers);
  const most = Math.min(faults, fresh.answers);
  let chance = 1;
  let chances = 1;
  let tilted = 1;
  let tilts = 1;
  let logScale = 0;
  for (let count = fewest; count < most; count += 1) {
    const ratio =
      ((faults - count) * (fresh.answers - count)) /
      ((count + 1) * (old.answers - faults + count + 1));
    chance *= ratio;
    chances += chance;
    tilted *= ratio * oddsRatio;
    tilts += tilted;
    if (chances > SCALE_LIMIT) {
      logScale += Math.log(SCALE_LIMIT);
      chance /= SCALE_LIMIT;
      chances /= SCALE_LIMIT;
    }
    if (tilts > SCALE_LIMIT) {
      logScale -= Math.log(SCALE_LIMIT);
      tilted /= SCALE_LIMIT;
      tilts /= SCALE_LIMIT;
    }
  }
  const observed = (fresh.faults - fewest) * Math.log(oddsRatio);
  return observed + Math.log(chances) - Math.log(tilts) + logScale;
};

/**
 * Computes how much better an odds ratio explains the faults than a given rate does.
 *
 * @param fresh - answers of the new version
 * @param rate - largest rate of faults that is no fault of the version
 * @param oddsRatio - odds ratio to that rate
 * @returns logarithm of the likelihood ratio
 */
export const computePastFactor = (fresh: Tally, rate: number, oddsRatio: number): number => {
  if (rate >= 1 || rate <= 0) return 0;
  const worse = (oddsRatio * rate) / (1 - rate + oddsRatio * rate);
  const good = fresh.answers - fresh.faults;
  return fresh.faults * Math.log(worse / rate) + good * Math.log((1 - worse) / (1 - rate));
};

const computeDivergence = (left: number, right: number): number => {
  const hit = left === 0 ? 0 : left * Math.log(left / right);
  const miss = left === 1 ? 0 : (1 - left) * Math.log((1 - left) / (1 - right));
  return hit + miss;
};

/** Halvings of the search interval; enough for a precision of one in a million. */
const SEARCH_STEPS = 24;

/**
 * Computes an upper bound of a rate that holds at all times together with the probability
 * `1 - FALSE_ALARM_RATE / MAX_CELLS` (mixture of likelihoods with a uniform prior).
 *
 * @param tally - faults among answers
 * @returns the bound; 1 without answers
 */
export const computeUpperRate = ({ answers, faults }: Tally): number => {
  if (answers <= 0) return 1;
  const observed = faults / answers;
  const limit = Math.log(((answers + 1) * MAX_CELLS) / FALSE_ALARM_RATE);
  let low = observed;
  let high = 1;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (answers * computeDivergence(observed, middle) < limit) low = middle;
    else high = middle;
  }
  return high;
};
