import { createInstancesChild } from './instances/instancesChild.js';
import { createLogChild } from './log/logChild.js';
import type { PlatformEffect, PlatformEvent, PlatformSettings } from './types.js';
import { createWeightsChild } from './weights/weightsChild.js';
import { buildRoutedChild } from '../../core/supervision/routedChild.js';
import type { Clock } from '../../core/clock.js';
import type { ChildSpec } from '../../core/supervision/types.js';

/**
 * Lists the children of the platform stand-in: log, instance list and weight store.
 *
 * @param settings - rate limits, retention and delays
 * @param clock - clock of all decisions
 * @returns the children in start order
 */
export const listPlatformChildren = (
  settings: PlatformSettings,
  clock: Clock,
): readonly ChildSpec<PlatformEvent, PlatformEffect>[] => [
  buildRoutedChild('log', {
    rebuildsFrom: 'nothing',
    createLogic: () => createLogChild(settings, clock),
  }),
  buildRoutedChild('instances', {
    rebuildsFrom: 'nothing',
    createLogic: () => createInstancesChild(settings.listLagMs, clock),
  }),
  buildRoutedChild('weights', {
    rebuildsFrom: 'nothing',
    createLogic: () => createWeightsChild(settings, clock),
  }),
];
