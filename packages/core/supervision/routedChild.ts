import { startChild } from './supervisor.js';
import type { ChildLogic, ChildSpec, StateSource } from './types.js';

/** Event addressed to the child named in `to`. */
interface RoutedEvent {
  readonly to: string;
}

export interface RoutedChildOptions<State, Event, Effect> {
  readonly rebuildsFrom: StateSource;
  /** Creates the decision logic of the child; called at each start. */
  readonly createLogic: () => ChildLogic<State, Event, Effect>;
  /** Receives each new state, for the read-only views of other children. */
  readonly publish?: (state: State) => void;
}

/**
 * Builds a permanent child that handles only the events addressed to it.
 *
 * @param name - name of the child, and value of `to` in its events
 * @param options - decision logic of the child and the source of its state
 * @returns the specification for the supervisor
 */
export const buildRoutedChild = <
  TreeEvent extends RoutedEvent,
  Name extends TreeEvent['to'],
  State,
  Effect,
>(
  name: Name,
  options: RoutedChildOptions<State, Extract<TreeEvent, { to: Name }>, Effect>,
): ChildSpec<TreeEvent, Effect> => {
  const isForThisChild = (event: TreeEvent): event is Extract<TreeEvent, { to: Name }> =>
    event.to === name;
  return {
    name,
    restart: 'permanent',
    rebuildsFrom: options.rebuildsFrom,
    start: () => {
      const child = startChild(options.createLogic(), options.publish ?? (() => undefined));
      return { ...child, handle: (event) => (isForThisChild(event) ? child.handle(event) : []) };
    },
  };
};
