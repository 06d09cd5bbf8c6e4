import type { PerformedAction, Sample } from './types.js';
import { SAMPLE_PERIOD_MS } from '../constants.js';
import type { LoadEffect, SamplesEvent } from '../types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Step } from '../../core/step.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

/** Samples of the engines' counters and the actions performed during the run. */
export interface SamplesState {
  readonly samples: readonly Sample[];
  readonly actions: readonly PerformedAction[];
}

const SCHEDULE_NEXT_SAMPLE: LoadEffect = {
  kind: 'schedule',
  delayMs: SAMPLE_PERIOD_MS,
  event: { to: 'samples', kind: 'sample-due' },
};

/**
 * Handles one event of the samples.
 *
 * @param state - samples and actions so far
 * @param event - due sample, fetched counters or performed action
 * @returns the next state and, for a due sample, the effects that take it and schedule the next
 */
export const decideSamples = (
  state: SamplesState,
  event: SamplesEvent,
): Step<SamplesState, LoadEffect> => {
  switch (event.kind) {
    case 'sample-due':
      return toStep(state, { kind: 'sample' }, SCHEDULE_NEXT_SAMPLE);
    case 'sampled': {
      const { at, counters } = event;
      return toStep({ ...state, samples: [...state.samples, { at, counters }] });
    }
    case 'action-performed': {
      const { at, scheduled, error } = event;
      const plannedMs = scheduled.atMs;
      const performed = { plannedMs, at, action: JSON.stringify(scheduled.action), error };
      return toStep({ ...state, actions: [...state.actions, performed] });
    }
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that collects the engines' counters and the performed actions.
 *
 * @returns the logic of the child
 */
export const createSamplesChild = (): ChildLogic<SamplesState, SamplesEvent, LoadEffect> => ({
  init: () =>
    toStep<SamplesState, LoadEffect>(
      { samples: [], actions: [] },
      { kind: 'sample' },
      SCHEDULE_NEXT_SAMPLE,
    ),
  decide: decideSamples,
});
