/** Bytes that the unfinished answers to several calls may hold together. */
export interface ByteBudget {
  /** Takes bytes for an answer; returns `spent`, and takes none, if that exceeds the limit. */
  readonly take: (bytes: number) => 'taken' | 'spent';
  /** Returns the bytes of an answer that has ended. */
  readonly release: (bytes: number) => void;
}

/**
 * Creates a budget.
 *
 * @param maxBytes - limit of the bytes that are taken at a time
 * @returns the budget, of which nothing is taken
 */
export const createByteBudget = (maxBytes: number): ByteBudget => {
  let taken = 0;
  return {
    take: (bytes) => {
      if (taken + bytes > maxBytes) return 'spent';
      taken += bytes;
      return 'taken';
    },
    release: (bytes) => {
      taken -= bytes;
    },
  };
};
