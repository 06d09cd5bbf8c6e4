import { startChild } from '../../core/supervision/supervisor.js';
import type { ChildLogic, ChildSpec } from '../../core/supervision/types.js';

/** Event that names the child that handles it. */
interface Routed {
  readonly to: string;
}

/**
 * Builds a permanent child that handles a part of its tree's events.
 *
 * @param name - name that the events carry in their field `to`
 * @param createLogic - creates the decisions of the child, with a fresh state
 * @param publish - receives each new state, for pages that only read it
 * @returns the specification for the supervisor
 */
export const buildRoutedChild = <Whole extends Routed, Name extends Whole['to'], State, Effect>(
  name: Name,
  createLogic: () => ChildLogic<State, Extract<Whole, { to: Name }>, Effect>,
  publish: (state: State) => void = () => undefined,
): ChildSpec<Whole, Effect> => {
  const isOwn = (event: Whole): event is Extract<Whole, { to: Name }> => event.to === name;
  return {
    name,
    restart: 'permanent',
    rebuildsFrom: 'nothing',
    start: () => {
      const child = startChild(createLogic(), publish);
      return { ...child, handle: (event) => (isOwn(event) ? child.handle(event) : []) };
    },
  };
};
