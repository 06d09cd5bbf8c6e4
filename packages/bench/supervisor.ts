import { createCallersChild } from './callers/callersChild.js';
import type { CallersInputs, CallersState } from './callers/callersChild.js';
import { createSamplesChild } from './samples/samplesChild.js';
import type { SamplesState } from './samples/samplesChild.js';
import type { BenchEffect, BenchEvent, RunPlan } from './types.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildSpec } from '../core/supervision/types.js';
import type { View } from '../standins/common/view.js';

/** Views of the states from which the results of a run are built. */
export interface BenchViews {
  readonly callers: View<CallersState>;
  readonly samples: View<SamplesState>;
}

/**
 * Lists the children of a run. The callers start last, because they send requests at once.
 *
 * @param plan - stages, answer length and pauses
 * @param inputs - clock and random source
 * @param views - views to which the children publish their states
 * @returns the children in start order
 */
export const listBenchChildren = (
  plan: RunPlan,
  inputs: CallersInputs,
  views: BenchViews,
): readonly ChildSpec<BenchEvent, BenchEffect>[] => [
  buildRoutedChild('samples', {
    rebuildsFrom: 'nothing',
    createLogic: createSamplesChild,
    publish: views.samples.publish,
  }),
  buildRoutedChild('callers', {
    rebuildsFrom: 'nothing',
    createLogic: () => createCallersChild(plan, inputs),
    publish: views.callers.publish,
  }),
];
