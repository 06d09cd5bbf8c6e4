/** Latest state of a child, for readers that don't change it. */
export interface View<State> {
  readonly publish: (state: State) => void;
  /** Returns the latest state; throws if the child has not started. */
  readonly get: () => State;
}

/**
 * Creates the view of a child's state.
 *
 * @returns a view that holds no state yet
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
