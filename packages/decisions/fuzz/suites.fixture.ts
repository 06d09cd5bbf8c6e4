import fc from 'fast-check';
import type { CheckParameters, CheckResult, FuzzSuite } from './types.js';
import { buildColdEngineProperty } from '../admission/coldEngineSimulation.fixture.js';
import { buildConfigurationProperty } from '../configuration/configurationProperty.fixture.js';
import { ALL_MECHANISMS } from '../configuration/configurationSimulation.fixture.js';
import { buildRetentionProperty } from '../configuration/retentionSimulation.fixture.js';
import { buildCommandList, runCommands } from '../idempotency/testing/fuzz.js';
import type { Mechanisms } from '../idempotency/testing/types.js';
import {
  buildChangeProperty,
  buildOrderProperty,
} from '../membership/membershipProperty.fixture.js';
import { buildMoveProperty, buildReportsProperty } from '../moves/moveProperty.fixture.js';
import {
  ALL_REFUSAL_MECHANISMS,
  buildRefusalProperty,
} from '../retries/attemptsSimulation.fixture.js';
import { buildBufferProperty } from '../streams/bufferProperty.fixture.js';
import { decideDelivery } from '../streams/delivery.js';
import { buildShutdownProperty } from '../streams/shutdownProperty.fixture.js';
import { buildAnswersProperty, buildTokensProperty } from '../streams/streamProperties.fixture.js';

const ALL_IDEMPOTENCY_MECHANISMS: Mechanisms = {
  fence: 'enabled',
  readBack: 'enabled',
  carryForward: 'enabled',
};

const buildAtMostOnceProperty = (profile: 'faults' | 'retention') =>
  fc.property(buildCommandList(profile), (commands) => {
    const { violations } = runCommands(commands, ALL_IDEMPOTENCY_MECHANISMS);
    if (violations.length > 0) throw new Error(violations.join('; '));
  });

const toResult = <Inputs>(details: fc.RunDetails<Inputs>): CheckResult => {
  const { failed, numRuns, seed, counterexample, counterexamplePath, errorInstance } = details;
  // fast-check also marks a check as failed that is interrupted before its first successful run;
  // without a counterexample no run violated the property.
  if (!failed || counterexamplePath === null) return { kind: 'passed', runs: numRuns };
  return {
    kind: 'violated',
    runs: numRuns,
    seed,
    path: counterexamplePath,
    counterexample: fc.stringify(counterexample),
    error: errorInstance instanceof Error ? errorInstance.message : 'the property is false',
  };
};

/**
 * Builds a suite from a property.
 *
 * @param name - subject and property, separated by a slash
 * @param property - property with its generator
 * @returns the suite
 */
export const buildSuite = <Inputs>(name: string, property: fc.IProperty<Inputs>): FuzzSuite => ({
  name,
  check: (parameters: CheckParameters) => toResult(fc.check(property, parameters)),
});

/** Property suites of the decisions, stateful ones included; `npm run fuzz` runs them in turn. */
export const FUZZ_SUITES: readonly FuzzSuite[] = [
  buildSuite('at-most-once/faults', buildAtMostOnceProperty('faults')),
  buildSuite('at-most-once/retention', buildAtMostOnceProperty('retention')),
  buildSuite('streams/tokens', buildTokensProperty(decideDelivery)),
  buildSuite('streams/answers', buildAnswersProperty(decideDelivery)),
  buildSuite('streams/buffer', buildBufferProperty('cancelled')),
  buildSuite('streams/buffer-kept', buildBufferProperty('kept')),
  buildSuite('streams/shutdown', buildShutdownProperty(decideDelivery)),
  buildSuite('retries/not-run', buildRefusalProperty(ALL_REFUSAL_MECHANISMS)),
  buildSuite('moves/versions', buildMoveProperty()),
  buildSuite('moves/reports', buildReportsProperty()),
  buildSuite('configuration/never-reverts', buildConfigurationProperty(ALL_MECHANISMS)),
  buildSuite('configuration/retention', buildRetentionProperty()),
  buildSuite('membership/data-centre-out', buildChangeProperty('data-centre-out')),
  buildSuite('membership/endpoint-leaves', buildChangeProperty('endpoint-leaves')),
  buildSuite('membership/order', buildOrderProperty()),
  buildSuite(
    'admission/cold-engine',
    buildColdEngineProperty(() => undefined),
  ),
];
