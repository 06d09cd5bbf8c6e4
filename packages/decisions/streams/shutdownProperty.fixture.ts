import fc from 'fast-check';
import { runFaultyStreams } from './faultyStreams.fixture.js';
import type { DecideDelivery } from './faultyStreams.fixture.js';
import type { SimulationAction } from './streamActions.fixture.js';
import { anyStreamActions } from './streamProperties.fixture.js';
import type { DeliveryEffect } from './types.js';

/** A stream may end early only when its endpoint, or every link to it for long enough, is lost. */
const isSurvivable = ({ kind }: SimulationAction): boolean =>
  kind !== 'kill-endpoint' && kind !== 'advance';

const listFailures = (effects: readonly DeliveryEffect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'fail' ? [effect.failure.message] : []));

/** Below the number of attempts, so that link faults alone cannot end a request. */
const MAX_CUTS = 4;

const listSurvivable = (faults: readonly SimulationAction[]): SimulationAction[] => {
  const survivable = faults.filter(isSurvivable);
  const excessCuts = survivable.filter(({ kind }) => kind === 'cut').slice(MAX_CUTS);
  return survivable.filter((action) => !excessCuts.includes(action));
};

/**
 * Builds the property of P9: answers of entry daemons that shut down in the middle of faults are
 * complete.
 *
 * @param decide - decision under test
 * @returns a fast-check property that throws with the violations
 */
export const buildShutdownProperty = (decide: DecideDelivery) =>
  fc.property(anyStreamActions, fc.array(fc.nat({ max: 160 })), (faults, shutdowns) => {
    const actions = listSurvivable(faults);
    for (const at of shutdowns) actions.splice(at, 0, { kind: 'drain-entry', pick: at });
    const failures: string[] = [];
    const decideAndRecord: DecideDelivery = (state, event) => {
      const step = decide(state, event);
      failures.push(...listFailures(step.effects));
      return step;
    };
    const deliveries = ['incremental', 'whole', 'incremental'] as const;
    const violations = [...runFaultyStreams(deliveries, actions, decideAndRecord), ...failures];
    if (violations.length > 0) throw new Error(violations.join('; '));
  });
