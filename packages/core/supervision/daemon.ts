import type { RunningChild } from './types.js';
import { DEFAULT_QUEUE_CAPACITY } from '../loop/constants.js';
import { createLoop } from '../loop/loop.js';
import type { Loop, QueueClass } from '../loop/types.js';

export interface DaemonOptions<Event, Effect> {
  readonly classify: (event: Event) => QueueClass;
  /** Starts the root supervisor. */
  readonly startRoot: () => RunningChild<Event, Effect>;
  /** Carries out one effect and posts its completion to the loop later. */
  readonly perform: (effect: Effect) => void;
  /** Receives a fault that the root supervisor could not handle; the process ends after it. */
  readonly onFault: (error: unknown) => void;
  readonly capacity?: number;
}

export interface Daemon<Event> {
  readonly loop: Loop<Event>;
  /** Starts the tree; its first effects are carried out before this returns. */
  readonly start: () => void;
  /** Stops the children in reverse start order and ends the loop. */
  readonly stop: () => void;
}

/**
 * Puts one loop, one supervisor tree and the adapters together.
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
