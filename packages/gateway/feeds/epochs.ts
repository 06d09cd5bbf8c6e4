import type { StoreEpoch } from '../types.js';

/** Order of the epoch of an answer and that of the newest applied records. */
export type EpochOrder = 'same' | 'older' | 'newer';

/**
 * Compares the epoch of an answer with that of a position. An answer without an epoch comes from a
 * store that states none, and is taken to have that of the position. Where only the position has
 * none, the records may stem from any copy of the store.
 *
 * @param answer - epoch of the answer
 * @param position - epoch of the position
 * @returns whether the answer is from the same copy of the store, an older or a newer one
 */
export const compareEpochs = (answer: StoreEpoch, position: StoreEpoch): EpochOrder => {
  if (answer === null || answer === position) return 'same';
  return position === null || answer > position ? 'newer' : 'older';
};

/**
 * Formats the epoch of a store for a log line.
 *
 * @param epoch - epoch; null from a store that states none
 * @returns the epoch, or `none`
 */
export const formatEpoch = (epoch: StoreEpoch): number | string => epoch ?? 'none';
