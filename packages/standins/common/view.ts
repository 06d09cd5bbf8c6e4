/** Newest state of a child, for pages that only read it. */
export interface View<State> {
  readonly publish: (state: State) => void;
  /** Throws before the child has started. */
  readonly get: () => State;
}

/**
 * Creates the view of a child's state.
 *
 * @returns a view without a state
 */
export const createView = <State>(): View<State> => {
  const published: State[] = [];
  return {
    publish: (state) => {
      published[0] = state;
    },
    get: () => {
      if (published.length === 0) throw new Error('the child has not started');
      return published[0] as State;
    },
  };
};
