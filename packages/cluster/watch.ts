/** Newest state of the loop, and promises for states to come. */
export interface Watch<State> {
  readonly publish: (state: State) => void;
  /** Newest state; throws before the first. */
  readonly get: () => State;
  /** Resolves with the first value that `find` takes from the newest or a later state. */
  readonly wait: <Value>(find: (state: State) => Value | undefined) => Promise<Value>;
}

/**
 * Creates a watch. Waiting needs no timer: each published state is tried once.
 *
 * @returns a watch without a state
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
