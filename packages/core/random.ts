import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** Source of random numbers, passed to every decision that involves randomness. */
export interface RandomSource {
  /** Returns the next number in [0, 1). */
  readonly next: () => number;
}

/**
 * Creates a deterministic random source.
 *
 * @param seed - 32-bit seed
 * @returns a source whose sequence depends only on the seed
 */
export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
};
