import { createControlChild } from './control/controlChild.js';
import type { ControlState } from './control/controlChild.js';
import { createSchedulerChild } from './scheduler/schedulerChild.js';
import type { SchedulerEnvironment, SchedulerState } from './scheduler/types.js';
import type { EngineEffect, EngineEvent, EngineSettings } from './types.js';
import { buildRoutedChild } from '../../core/supervision/routedChild.js';
import type { View } from '../common/view.js';
import type { ChildSpec } from '../../core/supervision/types.js';

/** Views of the children's states, read by the HTTP routes. */
export interface EngineViews {
  readonly scheduler: View<SchedulerState>;
  readonly control: View<ControlState>;
}

/**
 * Lists the children of the engine stand-in: scheduler and control orders.
 *
 * @param settings - settings of the engine
 * @param environment - time, random numbers and start identities
 * @param views - views that receive each new state
 * @returns the children in start order
 */
export const listEngineChildren = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
  views: EngineViews,
): readonly ChildSpec<EngineEvent, EngineEffect>[] => [
  buildRoutedChild('scheduler', {
    rebuildsFrom: 'nothing',
    createLogic: () => createSchedulerChild(settings, environment),
    publish: views.scheduler.publish,
  }),
  buildRoutedChild('control', {
    rebuildsFrom: 'nothing',
    createLogic: () => createControlChild(settings),
    publish: views.control.publish,
  }),
];
