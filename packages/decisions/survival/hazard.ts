import { BUCKET_COUNT, BUCKET_STARTS, BUCKET_WIDTHS, findBucket } from './buckets.js';
import { MAX_HAZARD, MAX_TOKENS, PRIOR_SCALE_TOKENS, PRIOR_SHAPE } from './constants.js';
import type { HazardCurve, RemainingEstimate } from './types.js';

/** How the observation of a generation ended; `censored` if the full length is unknown. */
export type ObservedEnd = 'finished' | 'censored';

/** Observation counts from which hazards are estimated; fractional, since they decay. */
export interface HazardCounts {
  readonly ends: Float64Array;
  /**
   * Generations that entered each bucket. One that was censored within a bucket counts as the share
   * of the bucket that it passed.
   */
  readonly entered: Float64Array;
}

/** Creates empty observation counts. */
export const createHazardCounts = (): HazardCounts => ({
  ends: new Float64Array(BUCKET_COUNT),
  entered: new Float64Array(BUCKET_COUNT),
});

/**
 * Builds a hazard curve from its rates.
 *
 * @param rates - hazard per token in each bucket
 * @returns the curve, with the integral of its rates
 */
export const buildCurve = (rates: Float64Array): HazardCurve => {
  const cumulative = new Float64Array(BUCKET_COUNT);
  for (let bucket = 1; bucket < BUCKET_COUNT; bucket += 1) {
    cumulative[bucket] =
      (cumulative[bucket - 1] ?? 0) + (rates[bucket - 1] ?? 0) * (BUCKET_WIDTHS[bucket - 1] ?? 0);
  }
  return { rates, cumulative };
};

/** Hazard curve before any observation. */
export const PRIOR_CURVE: HazardCurve = buildCurve(
  Float64Array.from(BUCKET_STARTS, (start, bucket) => {
    const middle = start + (BUCKET_WIDTHS[bucket] ?? 0) / 2;
    return PRIOR_SHAPE / (middle + PRIOR_SCALE_TOKENS);
  }),
);

/**
 * Computes the probability that a generation that entered a bucket ends within it.
 *
 * @param curve - hazard curve
 * @param bucket - index of the bucket
 * @returns probability in [0, 1]
 */
export const computeBucketHazard = (curve: HazardCurve, bucket: number): number =>
  1 - Math.exp(-(curve.rates[bucket] ?? 0) * (BUCKET_WIDTHS[bucket] ?? 0));

/**
 * Estimates a hazard curve from counts, shrunk towards a parent: the parent's hazard weighs as much
 * as `strength` generations that entered each bucket. The hazard of a bucket is the share of
 * generations that end in it; a rate computed from token counts would be too low where many lengths
 * fall into one bucket.
 *
 * @param counts - observation counts
 * @param parent - curve to shrink towards
 * @param strength - weight of the parent, in generations
 * @returns the estimated curve
 */
export const estimateCurve = (
  counts: HazardCounts,
  parent: HazardCurve,
  strength: number,
): HazardCurve => {
  const rates = new Float64Array(BUCKET_COUNT);
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
    const hazard =
      ((counts.ends[bucket] ?? 0) + strength * computeBucketHazard(parent, bucket)) /
      ((counts.entered[bucket] ?? 0) + strength);
    rates[bucket] = -Math.log(1 - Math.min(hazard, MAX_HAZARD)) / (BUCKET_WIDTHS[bucket] ?? 1);
  }
  return buildCurve(rates);
};

/**
 * Adds one generation to the counts after decaying the older ones.
 *
 * @param counts - updated in place
 * @param tokens - observed length
 * @param end - whether the generation finished or was censored
 * @param decay - factor on the weight of older observations
 */
export const applyObservation = (
  counts: HazardCounts,
  tokens: number,
  end: ObservedEnd,
  decay: number,
): void => {
  const length = Math.min(Math.max(tokens, 0), MAX_TOKENS);
  const last = findBucket(length);
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
    const inside = (length - (BUCKET_STARTS[bucket] ?? 0)) / (BUCKET_WIDTHS[bucket] ?? 1);
    const passedShare = Math.min(Math.max(inside, 0), 1);
    const isEnd = bucket === last && end === 'finished';
    counts.ends[bucket] = (counts.ends[bucket] ?? 0) * decay + (isEnd ? 1 : 0);
    counts.entered[bucket] = (counts.entered[bucket] ?? 0) * decay + (isEnd ? 1 : passedShare);
  }
};

const computeCumulative = (curve: HazardCurve, tokens: number): number => {
  const bucket = findBucket(tokens);
  const inside = tokens - (BUCKET_STARTS[bucket] ?? 0);
  return (curve.cumulative[bucket] ?? 0) + (curve.rates[bucket] ?? 0) * inside;
};

/**
 * Computes the probability that a generation produces at least a number of further tokens.
 *
 * @param curve - hazard curve
 * @param generated - tokens generated so far
 * @param tokens - number of further tokens
 * @returns probability in [0, 1]; 0 from `MAX_TOKENS` on
 */
export const computeSurvival = (curve: HazardCurve, generated: number, tokens: number): number => {
  if (generated + tokens >= MAX_TOKENS) return 0;
  const passed = computeCumulative(curve, generated);
  return Math.exp(passed - computeCumulative(curve, generated + tokens));
};

/**
 * Computes a bucket's contribution to the first and second moment of the remaining length, and the
 * probability of surviving the bucket.
 */
const computeMoments = (rate: number, width: number, offset: number) => {
  if (rate * width < 1e-6) {
    return { first: width, second: width * (2 * offset + width), alive: 1 - rate * width };
  }
  const alive = Math.exp(-rate * width);
  const first = (1 - alive) / rate;
  const inner = first / rate - (alive * width) / rate;
  return { first, second: 2 * (offset * first + inner), alive };
};

const computeRemaining = (curve: HazardCurve, generated: number) => {
  const from = Math.min(Math.max(generated, 0), MAX_TOKENS - 1);
  let alive = 1;
  let mean = 0;
  let square = 0;
  let offset = 0;
  for (let bucket = findBucket(from); bucket < BUCKET_COUNT; bucket += 1) {
    const end = (BUCKET_STARTS[bucket] ?? 0) + (BUCKET_WIDTHS[bucket] ?? 0);
    const width = end - from - offset;
    const part = computeMoments(curve.rates[bucket] ?? 0, width, offset);
    mean += alive * part.first;
    square += alive * part.second;
    alive *= part.alive;
    offset += width;
    if (alive < 1e-9) break;
  }
  return { mean, variance: Math.max(0, square - mean * mean) };
};

/**
 * Computes a quantile of the number of tokens that a generation has yet to produce.
 *
 * @param curve - hazard curve
 * @param generated - tokens generated so far
 * @param p - probability in [0, 1]
 * @returns number of further tokens not exceeded with probability `p`; finite
 */
export const computeQuantile = (curve: HazardCurve, generated: number, p: number): number => {
  const from = Math.min(Math.max(generated, 0), MAX_TOKENS - 1);
  const target = computeCumulative(curve, from) - Math.log(1 - Math.min(Math.max(p, 0), 1));
  for (let bucket = findBucket(from); bucket < BUCKET_COUNT; bucket += 1) {
    const start = BUCKET_STARTS[bucket] ?? 0;
    const rate = curve.rates[bucket] ?? 0;
    const atEnd = (curve.cumulative[bucket] ?? 0) + rate * (BUCKET_WIDTHS[bucket] ?? 0);
    if (atEnd < target) continue;
    const inside = (target - (curve.cumulative[bucket] ?? 0)) / rate;
    return Math.max(0, start + inside - from);
  }
  return MAX_TOKENS - from;
};

/**
 * Estimates the number of tokens that a generation has yet to produce.
 *
 * @param curve - hazard curve
 * @param generated - tokens generated so far
 * @returns mean and variance, both finite, and quantiles
 */
export const estimateRemainingTokens = (
  curve: HazardCurve,
  generated: number,
): RemainingEstimate => ({
  ...computeRemaining(curve, generated),
  quantile: (p) => computeQuantile(curve, generated, p),
});

/**
 * Computes the probability that a generation, observed at a random point of its output, produces at
 * least a number of further tokens.
 *
 * @param curve - hazard curve
 * @param tokens - number of further tokens
 * @returns probability in [0, 1]: the expected share of a generation's tokens after the first
 *   `tokens`
 */
export const computeUnknownSurvival = (curve: HazardCurve, tokens: number): number => {
  const total = computeRemaining(curve, 0).mean;
  const after = computeSurvival(curve, 0, tokens);
  return after === 0 ? 0 : (after * computeRemaining(curve, tokens).mean) / total;
};
