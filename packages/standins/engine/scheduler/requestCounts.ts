import { MAX_COUNTED_REQUESTS } from '../constants.js';

/**
 * Executions per request id. A run can have tens of thousands of requests, so the counts are
 * updated in place; the oldest ids are dropped above a bound.
 */
export interface RequestCounts {
  readonly add: (requestId: string) => void;
  readonly list: () => Readonly<Record<string, number>>;
}

/**
 * Creates empty counts.
 *
 * @returns the counts
 */
export const createRequestCounts = (): RequestCounts => {
  const counts = new Map<string, number>();
  return {
    add: (requestId) => {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
      if (counts.size <= MAX_COUNTED_REQUESTS) return;
      const oldest = counts.keys().next().value;
      if (oldest !== undefined) counts.delete(oldest);
    },
    list: () => Object.fromEntries(counts),
  };
};
