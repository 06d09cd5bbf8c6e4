import { createControlChild } from './control/controlChild.js';
import type { ControlState } from './control/controlChild.js';
import { createSchedulerChild } from './scheduler/schedulerChild.js';
import type { SchedulerEnvironment, SchedulerState } from './scheduler/types.js';
import type { EngineEffect, EngineEvent, EngineSettings } from './types.js';
import { buildRoutedChild } from '../common/routedChild.js';
import type { Clock } from '../../core/clock.js';
import { startSupervisor } from '../../core/supervision/supervisor.js';
import type { ChildFailure, RunningChild } from '../../core/supervision/types.js';

/** Receives the states that the engine's pages show. */
export interface EngineViews {
  readonly scheduler: (state: SchedulerState) => void;
  readonly control: (state: ControlState) => void;
}

/**
 * Starts the tree of the engine stand-in: scheduler and control orders.
 *
 * @param settings - sizes and speeds of the engine
 * @param environment - time, chance and start identities
 * @param views - receivers of the published states
 * @param onFailure - receives each failure of a child
 * @returns the root supervisor
 */
export const startEngineSupervisor = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
  views: EngineViews,
  onFailure: (failure: ChildFailure) => void,
): RunningChild<EngineEvent, EngineEffect> => {
  const clock: Clock = { now: environment.now };
  return startSupervisor<EngineEvent, EngineEffect>(
    {
      name: 'engine-standin',
      strategy: 'one-for-one',
      intensity: { restarts: 3, withinMs: 5_000 },
      children: [
        buildRoutedChild(
          'scheduler',
          () => createSchedulerChild(settings, environment),
          views.scheduler,
        ),
        buildRoutedChild('control', () => createControlChild(settings), views.control),
      ],
      route: (event) => event.to,
    },
    clock,
    onFailure,
  );
};
