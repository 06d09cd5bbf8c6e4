import type { MemoryAccount } from './types.js';

/**
 * Creates an account.
 *
 * @param limitBytes - limit of the bytes that are reserved at a time
 * @returns the account, in which nothing is reserved
 */
export const createMemoryAccount = (limitBytes: number): MemoryAccount => {
  let reserved = 0;
  return {
    limitBytes,
    reserve: (bytes) => {
      if (reserved + bytes > limitBytes) return 'full';
      reserved += bytes;
      return 'reserved';
    },
    hasRoom: (bytes) => reserved + bytes <= limitBytes,
    release: (bytes) => {
      reserved -= bytes;
    },
    getReserved: () => reserved,
  };
};
