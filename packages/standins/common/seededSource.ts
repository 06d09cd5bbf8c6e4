import { createHash } from 'node:crypto';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';

/**
 * Creates a repeatable random source that belongs to a name, so that another name under the same
 * seed does not change its numbers.
 *
 * @param seed - seed of the whole run
 * @param name - what the numbers are for
 * @returns the source
 */
export const createSeededSource = (seed: number, name: string): RandomSource => {
  const digest = createHash('sha256').update(`${seed.toString()}:${name}`).digest();
  return createRandomSource(digest.readInt32BE(0));
};
