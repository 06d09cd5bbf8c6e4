import { MAX_COUNTED_REQUESTS } from '../constants.js';

/**
 * Number of executions by request id. A run can have tens of thousands of requests, so the counts
 * are updated in place; the oldest ids are removed above `MAX_COUNTED_REQUESTS`.
 */
export interface RequestCounts {
  readonly add: (requestId: string) => void;
  readonly list: () => Readonly<Record<string, number>>;
}

/**
 * Creates the counts of executions by request id.
 *
 * @returns the empty counts
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
