/** One call that took effect. */
export interface Execution {
  /** Sequence number of the execution, from 1. */
  readonly id: number;
  readonly route: string;
  readonly key: string;
  readonly amount: number;
}

/**
 * Number of executions by idempotency key. A run can have tens of thousands of keys, so the table
 * is updated in place, by the service child alone. It survives a crash, as the effects of a service
 * do.
 */
export interface Executions {
  readonly add: (route: string, key: string, amount: number) => Execution;
  readonly count: (key: string) => number;
  /** Returns the total number of executions, and the keys that were executed more than once. */
  readonly list: () => {
    readonly total: number;
    readonly repeated: Readonly<Record<string, number>>;
  };
}

/**
 * Creates the empty table.
 *
 * @returns the table
 */
export const createExecutions = (): Executions => {
  const counts = new Map<string, number>();
  let total = 0;
  return {
    add: (route, key, amount) => {
      total += 1;
      counts.set(key, (counts.get(key) ?? 0) + 1);
      return { id: total, route, key, amount };
    },
    count: (key) => counts.get(key) ?? 0,
    list: () => ({
      total,
      repeated: Object.fromEntries([...counts].filter(([, count]) => count > 1)),
    }),
  };
};
