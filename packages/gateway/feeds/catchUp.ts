import { assertNever } from '../../core/assertNever.js';
import type { FeedName } from '../types.js';

/**
 * How a daemon goes on after an answer that did not hold all records of a feed. `newest`: it loads the
 * newest record of each key. `in-order`: it reads the records that follow.
 */
export type CatchUp = 'newest' | 'in-order';

/**
 * Chooses how to catch up with a feed. Each configuration replaces the one before as a whole, so the
 * versions in between would only delay the newest one on a slow link. A registration is one of many
 * small records, of which a load returns all.
 *
 * @param feed - feed that was read
 * @param remaining - number of records that the feed has beyond the answer
 * @returns the way; null when the answer held all records
 */
export const chooseCatchUp = (feed: FeedName, remaining: number): CatchUp | null => {
  if (remaining === 0) return null;
  switch (feed) {
    case 'operator':
      return 'newest';
    case 'registrations':
      return 'in-order';
    default:
      return assertNever(feed);
  }
};
