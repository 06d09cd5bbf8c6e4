import { decideRestart } from './restart.js';
import type { RestartHistory } from './restart.js';
import type { ChildFailure, ChildLogic, ChildSpec, RunningChild, SupervisorSpec } from './types.js';
import { assertNever } from '../assertNever.js';
import type { Clock } from '../clock.js';

/** Thrown by a supervisor whose children fail more often than its restart intensity allows. */
export class SupervisorEscalation extends Error {
  constructor(
    readonly supervisor: string,
    override readonly cause: unknown,
  ) {
    super(`supervisor ${supervisor} exceeded its restart intensity`);
  }
}

/**
 * Starts a child from its decision logic. The child is the sole owner of its state.
 *
 * @param logic - initial state and decision function
 * @param publish - receives each new state, for the read-only views of other children
 * @returns the running child
 */
export const startChild = <State, Event, Effect>(
  logic: ChildLogic<State, Event, Effect>,
  publish: (state: State) => void,
): RunningChild<Event, Effect> => {
  const initial = logic.init();
  let state = initial.state;
  publish(state);
  return {
    started: initial.effects,
    handle: (event) => {
      const step = logic.decide(state, event);
      state = step.state;
      publish(state);
      return step.effects;
    },
    stop: () => logic.stop?.(state) ?? [],
  };
};

/**
 * Starts a supervisor with its children. A supervisor is a child itself, so supervisors nest.
 *
 * @param spec - children, restart strategy and restart intensity
 * @param clock - clock that timestamps the restarts
 * @param onFailure - receives each failure of a child, for the event log
 * @returns the running supervisor
 * @throws SupervisorEscalation from `handle` when the restart intensity is exceeded
 */
export const startSupervisor = <Event, Effect>(
  spec: SupervisorSpec<Event, Effect>,
  clock: Clock,
  onFailure: (failure: ChildFailure) => void,
): RunningChild<Event, Effect> => {
  const specs = new Map(spec.children.map((child) => [child.name, child]));
  const names = spec.children.map((child) => child.name);
  const running = new Map<string, RunningChild<Event, Effect>>();
  let history: RestartHistory = [];

  const startChildByName = (name: string): readonly Effect[] => {
    const child = specs.get(name) as ChildSpec<Event, Effect>;
    const started = child.start();
    running.set(name, started);
    return started.started;
  };

  const stopChildByName = (name: string): readonly Effect[] => {
    const child = running.get(name);
    running.delete(name);
    return child?.stop() ?? [];
  };

  const handleFailure = (failed: ChildSpec<Event, Effect>, error: unknown): readonly Effect[] => {
    onFailure({
      supervisor: spec.name,
      child: failed.name,
      rebuildsFrom: failed.rebuildsFrom,
      error,
    });
    const outcome = decideRestart(
      failed.restart,
      spec.strategy,
      names,
      failed.name,
      spec.intensity,
      history,
      clock.now(),
    );
    history = outcome.history;
    running.delete(failed.name);
    switch (outcome.decision.kind) {
      case 'remove':
        return [];
      case 'escalate':
        throw new SupervisorEscalation(spec.name, error);
      case 'restart': {
        const affected = outcome.decision.children;
        const stopEffects = [...affected].reverse().flatMap(stopChildByName);
        return [...stopEffects, ...affected.flatMap(startChildByName)];
      }
      default:
        return assertNever(outcome.decision);
    }
  };

  const handle = (event: Event): readonly Effect[] => {
    const name = spec.route(event);
    const child = running.get(name);
    if (child === undefined) return [];
    try {
      return child.handle(event);
    } catch (error) {
      return handleFailure(specs.get(name) as ChildSpec<Event, Effect>, error);
    }
  };

  return {
    started: names.flatMap(startChildByName),
    handle,
    stop: () => [...names].reverse().flatMap(stopChildByName),
  };
};
