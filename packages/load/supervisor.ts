import { createRequestsChild } from './requests/requestsChild.js';
import type { RequestsState } from './requests/types.js';
import { createSamplesChild } from './samples/samplesChild.js';
import type { SamplesState } from './samples/samplesChild.js';
import type { Scenario } from './scenario/types.js';
import { createTimetableChild } from './timetable/timetableChild.js';
import type { Timetable } from './timetable/timetableChild.js';
import type { LoadEffect, LoadEvent } from './types.js';
import type { View } from '../standins/common/view.js';
import type { Millis } from '../core/clock.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildSpec } from '../core/supervision/types.js';

/** Views of the child states from which the result is built. */
export interface LoadViews {
  readonly requests: View<RequestsState>;
  readonly samples: View<SamplesState>;
}

/**
 * Lists the children of the load generator: requests, samples and the timetable. The timetable
 * starts last, because its start may already send requests.
 *
 * @param scenario - classes and start of the measured time
 * @param run - id of the run
 * @param timetable - arrivals and scheduled actions
 * @param now - time since the start of the run
 * @param views - views to which the children publish their states
 * @returns the children in start order
 */
export const listLoadChildren = (
  scenario: Scenario,
  run: string,
  timetable: Timetable,
  now: () => Millis,
  views: LoadViews,
): readonly ChildSpec<LoadEvent, LoadEffect>[] => [
  buildRoutedChild('requests', {
    rebuildsFrom: 'nothing',
    createLogic: () => createRequestsChild(scenario, run),
    publish: views.requests.publish,
  }),
  buildRoutedChild('samples', {
    rebuildsFrom: 'nothing',
    createLogic: createSamplesChild,
    publish: views.samples.publish,
  }),
  buildRoutedChild('timetable', {
    rebuildsFrom: 'nothing',
    createLogic: () => createTimetableChild(timetable, now),
  }),
];
