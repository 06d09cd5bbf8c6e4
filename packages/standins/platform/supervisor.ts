import { createInstancesChild } from './instances/instancesChild.js';
import { createLogChild } from './log/logChild.js';
import type { PlatformEffect, PlatformEvent, PlatformSettings } from './types.js';
import { createWeightsChild } from './weights/weightsChild.js';
import { buildRoutedChild } from '../common/routedChild.js';
import type { Clock } from '../../core/clock.js';
import { startSupervisor } from '../../core/supervision/supervisor.js';
import type { ChildFailure, RunningChild } from '../../core/supervision/types.js';

/**
 * Starts the tree of the platform stand-in: log, instance list and weight store.
 *
 * @param settings - limits, retention and lag
 * @param clock - time of all decisions
 * @param onFailure - receives each failure of a child
 * @returns the root supervisor
 */
export const startPlatformSupervisor = (
  settings: PlatformSettings,
  clock: Clock,
  onFailure: (failure: ChildFailure) => void,
): RunningChild<PlatformEvent, PlatformEffect> =>
  startSupervisor<PlatformEvent, PlatformEffect>(
    {
      name: 'platform-standin',
      strategy: 'one-for-one',
      intensity: { restarts: 3, withinMs: 5_000 },
      children: [
        buildRoutedChild('log', () => createLogChild(settings, clock)),
        buildRoutedChild('instances', () => createInstancesChild(settings.listLagMs, clock)),
        buildRoutedChild('weights', () => createWeightsChild(settings, clock)),
      ],
      route: (event) => event.to,
    },
    clock,
    onFailure,
  );
