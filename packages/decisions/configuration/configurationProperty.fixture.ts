import fc from 'fast-check';
import { runConfiguration } from './configurationSimulation.fixture.js';
import type { Mechanisms } from './configurationSimulation.fixture.js';
import type { SimulationAction } from './simulationActions.fixture.js';

const anyAction: fc.Arbitrary<SimulationAction> = fc.record({
  kind: fc.constantFrom(
    ...(['propose', 'propose', 'append', 'append', 'append', 'append', 'read', 'read'] as const),
    ...(['deliver', 'deliver', 'deliver', 'heartbeat', 'heartbeat'] as const),
    ...(['end-move', 'notify-move'] as const),
    ...(['plan-snapshot', 'expire-records', 'restart', 'outage', 'send-snapshot'] as const),
    ...(['quarantine', 'later-format'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

/**
 * Builds the property of P10: an accepted configuration never reverts and is the same at every
 * daemon.
 *
 * @param mechanisms - decisions under test, or variants of them
 * @returns a fast-check property that throws an error with the violation
 */
export const buildConfigurationProperty = (mechanisms: Mechanisms) =>
  fc.property(fc.array(anyAction, { maxLength: 150, size: 'max' }), (actions) => {
    runConfiguration(actions, mechanisms);
  });
