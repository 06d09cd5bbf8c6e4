import type { LengthDistribution } from '../scenario/types.js';
import { assertNever } from '../../core/assertNever.js';
import type { RandomSource } from '../../core/random.js';

const toTokenCount = (value: number, min: number, max: number): number =>
  Math.round(Math.min(max, Math.max(min, value)));

/** Samples the standard normal distribution with the Box-Muller transform. */
const sampleNormal = (random: RandomSource): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/**
 * Samples a length in tokens.
 *
 * @param distribution - distribution of the length
 * @param random - random source
 * @returns the number of tokens
 */
export const sampleLength = (distribution: LengthDistribution, random: RandomSource): number => {
  switch (distribution.kind) {
    case 'constant':
      return distribution.tokens;
    case 'uniform':
      return (
        distribution.min + Math.floor(random.next() * (distribution.max - distribution.min + 1))
      );
    case 'log-normal': {
      const { median, sigma, min, max } = distribution;
      return toTokenCount(median * Math.exp(sigma * sampleNormal(random)), min, max);
    }
    case 'pareto': {
      const { min, shape, max } = distribution;
      return toTokenCount(min / Math.pow(1 - random.next(), 1 / shape), min, max);
    }
    default:
      return assertNever(distribution);
  }
};
