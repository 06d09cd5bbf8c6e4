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
 * @param lengths - distribution of the length
 * @param random - random source
 * @returns the number of tokens
 */
export const sampleLength = (lengths: LengthDistribution, random: RandomSource): number => {
  switch (lengths.kind) {
    case 'constant':
      return lengths.tokens;
    case 'uniform':
      return lengths.min + Math.floor(random.next() * (lengths.max - lengths.min + 1));
    case 'log-normal': {
      const { median, sigma, min, max } = lengths;
      return toTokenCount(median * Math.exp(sigma * sampleNormal(random)), min, max);
    }
    case 'pareto': {
      const { min, shape, max } = lengths;
      return toTokenCount(min / Math.pow(1 - random.next(), 1 / shape), min, max);
    }
    default:
      return assertNever(lengths);
  }
};
