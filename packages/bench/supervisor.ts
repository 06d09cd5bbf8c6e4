import { createCallersChild } from './callers/callersChild.js';
import type { CallersInputs, CallersState } from './callers/callersChild.js';
import { createSamplesChild } from './samples/samplesChild.js';
import type { SamplesState } from './samples/samplesChild.js';
import type { BenchEffect, BenchEvent, RunPlan } from './types.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildSpec } from '../core/supervision/types.js';
import type { View } from '../standins/common/view.js';

/** States from which the results are built. */
export interface BenchViews {
  readonly callers: View<CallersState>;
  readonly samples: View<SamplesState>;
}

/**
 * Lists the children of a run: the samples, and the callers, which start last as they send at once.
 *
 * @param plan - what the callers do
 * @param inputs - clock and chance
 * @param views - receivers of the published states
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
