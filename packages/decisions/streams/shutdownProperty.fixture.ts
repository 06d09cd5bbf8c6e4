import fc from 'fast-check';
import { runFaultyStreams } from './faultyStreams.fixture.js';
import type { DecideDelivery, SimulationAction } from './faultyStreams.fixture.js';
import { anyStreamActions } from './streamProperties.fixture.js';
import type { DeliveryEffect } from './types.js';

/** Only the loss of the endpoint, or of every link to it for long, may end a stream early. */
const isSurvivable = ({ kind }: SimulationAction): boolean =>
  kind !== 'kill-endpoint' && kind !== 'advance';

const listFailures = (effects: readonly DeliveryEffect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'fail' ? [effect.failure.message] : []));

/** Below the number of attempts, so that it is never the links alone that end a request. */
const MAX_CUTS = 4;

const listSurvivable = (faults: readonly SimulationAction[]): SimulationAction[] => {
  const survivable = faults.filter(isSurvivable);
  const cuts = survivable.filter(({ kind }) => kind === 'cut').slice(MAX_CUTS);
  return survivable.filter((action) => !cuts.includes(action));
};

/**
 * Builds the property of P9: streams of entry daemons that shut down in the middle of faults end
 * whole.
 *
 * @param decide - decision under test
 * @returns a fast-check property that throws with the violations
 */
export const buildShutdownProperty = (decide: DecideDelivery) =>
  fc.property(anyStreamActions, fc.array(fc.nat({ max: 160 })), (faults, shutdowns) => {
    const actions = listSurvivable(faults);
    for (const at of shutdowns) actions.splice(at, 0, { kind: 'drain-entry', pick: at });
    const failures: string[] = [];
    const decideAndNote: DecideDelivery = (state, event) => {
      const step = decide(state, event);
      failures.push(...listFailures(step.effects));
      return step;
    };
    const deliveries = ['incremental', 'whole', 'incremental'] as const;
    const violations = [...runFaultyStreams(deliveries, actions, decideAndNote), ...failures];
    if (violations.length > 0) throw new Error(violations.join('; '));
  });
