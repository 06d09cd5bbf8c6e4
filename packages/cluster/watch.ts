/** Holds the latest state of a loop, and lets callers wait for a state that meets a condition. */
export interface Watch<State> {
  readonly publish: (state: State) => void;
  /** Returns the latest state; throws before the first one is published. */
  readonly get: () => State;
  /** Resolves with the first defined result of `find` on the latest or a later state. */
  readonly wait: <Value>(find: (state: State) => Value | undefined) => Promise<Value>;
}

/**
 * Creates a watch. Waiting needs no timer, because every published state is checked once.
 *
 * @returns a watch that holds no state yet
 */
export const createWatch = <State>(): Watch<State> => {
  let latest: { readonly state: State } | undefined;
  const pendingChecks = new Set<(state: State) => void>();
  return {
    publish: (state) => {
      latest = { state };
      for (const check of [...pendingChecks]) check(state);
    },
    get: () => {
      if (latest === undefined) throw new Error('the loop has not started');
      return latest.state;
    },
    wait: <Value>(find: (state: State) => Value | undefined) =>
      new Promise<Value>((resolve) => {
        const check = (state: State): void => {
          const value = find(state);
          if (value === undefined) return;
          pendingChecks.delete(check);
          resolve(value);
        };
        pendingChecks.add(check);
        if (latest !== undefined) check(latest.state);
      }),
  };
};
