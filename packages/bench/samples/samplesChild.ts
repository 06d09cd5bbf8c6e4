import { SAMPLE_PERIOD_MS } from '../constants.js';
import type { BenchEffect, Sample, SamplesEvent } from '../types.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

/** Samples of each stage; updated in place. */
export interface SamplesState {
  readonly byStage: Map<number, Sample[]>;
  /** Stage that is being sampled; null between measurements. */
  sampledStage: number | null;
}

const decideSamples = (state: SamplesState, event: SamplesEvent): readonly BenchEffect[] => {
  const { stage } = event;
  switch (event.kind) {
    case 'begun':
      state.sampledStage = stage;
      return [{ kind: 'take-sample', stage }];
    case 'sample-due':
      return state.sampledStage === stage ? [{ kind: 'take-sample', stage }] : [];
    case 'sampled': {
      if (state.sampledStage !== stage) return [];
      const samples = state.byStage.get(stage) ?? [];
      state.byStage.set(stage, samples);
      samples.push(event.sample);
      const due = { to: 'samples', kind: 'sample-due', stage } as const;
      return [{ kind: 'schedule', delayMs: SAMPLE_PERIOD_MS, event: due }];
    }
    case 'ended':
      state.sampledStage = null;
      return [];
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that samples the processes while a stage is measured.
 *
 * @returns the logic of the child
 */
export const createSamplesChild = (): ChildLogic<SamplesState, SamplesEvent, BenchEffect> => ({
  init: () => toStep<SamplesState, BenchEffect>({ byStage: new Map(), sampledStage: null }),
  decide: (state, event) => toStep(state, ...decideSamples(state, event)),
});
