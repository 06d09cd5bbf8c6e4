import { createHash } from 'node:crypto';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';

/**
 * Creates a deterministic random source for one purpose. Each name has its own sequence under the
 * same seed, so that a further name doesn't change the numbers of the others.
 *
 * @param seed - seed of the whole run
 * @param name - purpose of the numbers
 * @returns the source
 */
export const createSeededSource = (seed: number, name: string): RandomSource => {
  const digest = createHash('sha256').update(`${seed.toString()}:${name}`).digest();
  return createRandomSource(digest.readInt32BE(0));
};
