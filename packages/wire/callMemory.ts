import type { MemoryAccount } from '../core/memory/types.js';

/** Memory that one call has reserved. */
export interface CallMemory {
  readonly reserve: (bytes: number) => 'reserved' | 'full';
  /** Returns everything once the call has ended; later reservations are refused. */
  readonly end: () => void;
}

/**
 * Opens the memory of one call.
 *
 * @param account - memory for all calls
 * @returns the memory, in which nothing is reserved
 */
export const openCallMemory = (account: MemoryAccount): CallMemory => {
  let reserved = 0;
  let phase: 'open' | 'ended' = 'open';
  return {
    reserve: (bytes) => {
      // A call that has ended has nothing that would release its bytes.
      if (phase === 'ended' || account.reserve(bytes) === 'full') return 'full';
      reserved += bytes;
      return 'reserved';
    },
    end: () => {
      phase = 'ended';
      account.release(reserved);
      reserved = 0;
    },
  };
};
