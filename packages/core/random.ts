import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** Source of random numbers, an input of every decision that needs chance. */
export interface RandomSource {
  /** Returns the next number in [0, 1). */
  readonly next: () => number;
}

/**
 * Creates a repeatable random source.
 *
 * @param seed - 32-bit seed
 * @returns a source whose sequence depends on the seed alone
 */
export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
};
