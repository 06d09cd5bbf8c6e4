import type { z } from 'zod';
import { MAX_PROMISED_SHARE } from './constants.js';

/**
 * Adds an issue if sizes of a settings file are too large for the memory that the daemon may use. What
 * they promise would otherwise end the process when it is used.
 *
 * @param memoryBytes - memory of the daemon
 * @param sizes - sizes in bytes, by the path of their field
 * @param context - receives the issue at the first field
 */
export const checkMemorySizes = (
  memoryBytes: number,
  sizes: readonly { readonly path: readonly string[]; readonly bytes: number }[],
  context: z.RefinementCtx,
): void => {
  const promised = sizes.reduce((sum, { bytes }) => sum + bytes, 0);
  const limit = Math.floor(memoryBytes * MAX_PROMISED_SHARE);
  if (promised <= limit) return;
  const names = sizes.map(({ path }) => path.join('.')).join(' and ');
  context.addIssue({
    code: 'custom',
    path: [...(sizes[0]?.path ?? [])],
    message: `expected ${names} of at most ${limit.toString()} bytes together, half of memoryBytes`,
  });
};
