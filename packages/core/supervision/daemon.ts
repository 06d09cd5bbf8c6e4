import type { RunningChild } from './types.js';
import { DEFAULT_QUEUE_CAPACITY } from '../loop/constants.js';
import { createLoop } from '../loop/loop.js';
import type { Loop, LoopLateness, QueueClass } from '../loop/types.js';

export interface DaemonOptions<Event, Effect> {
  readonly classify: (event: Event) => QueueClass;
  /** Starts the root supervisor. */
  readonly startRoot: () => RunningChild<Event, Effect>;
  /** Carries out one effect; its completion is posted to the loop as an event. */
  readonly perform: (effect: Effect) => void;
  /** Receives an error that the root supervisor could not handle; the process exits after it. */
  readonly onFault: (error: unknown) => void;
  /** Receives a report on a late timer of the loop, once a second at most. */
  readonly onLate?: (lateness: LoopLateness) => void;
  /** Capacity of the event queue. */
  readonly capacity?: number;
}

export interface Daemon<Event> {
  readonly loop: Loop<Event>;
  /** Starts the supervisor tree and performs its initial effects before it returns. */
  readonly start: () => void;
  /** Stops the children in reverse start order, performs their last effects and stops the loop. */
  readonly stop: () => void;
}

/**
 * Assembles a daemon from one loop, one supervisor tree and the adapters.
 *
 * @param options - root supervisor, adapters and fault handler
 * @returns the daemon, not yet started
 */
export const createDaemon = <Event, Effect>(
  options: DaemonOptions<Event, Effect>,
): Daemon<Event> => {
  let root: RunningChild<Event, Effect> | undefined;
  const performEffects = (effects: readonly Effect[]): void => {
    for (const effect of effects) options.perform(effect);
  };
  const loop = createLoop<Event>({
    capacity: options.capacity ?? DEFAULT_QUEUE_CAPACITY,
    classify: options.classify,
    handle: (event) => {
      if (root !== undefined) performEffects(root.handle(event));
    },
    onFault: options.onFault,
    onLate: options.onLate,
  });
  return {
    loop,
    start: () => {
      root = options.startRoot();
      performEffects(root.started);
    },
    stop: () => {
      if (root !== undefined) performEffects(root.stop());
      root = undefined;
      loop.stop();
    },
  };
};
