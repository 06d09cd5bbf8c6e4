import test from 'ava';
import fc from 'fast-check';
import { ALL_REFUSAL_MECHANISMS, buildRefusalProperty } from './attemptsSimulation.fixture.js';
import type { RefusalMechanisms } from './attemptsSimulation.fixture.js';
import { assertNever } from '../../core/assertNever.js';
import { createFailure } from '../../core/verdict.js';
import { buildCommandList, runCommands } from '../idempotency/testing/fuzz.js';
import type { Mechanisms } from '../idempotency/testing/types.js';
import { decideDelivery, initDelivery } from '../streams/delivery.js';
import type { DecideDelivery } from '../streams/faultyStreams.fixture.js';
import { buildTokensProperty } from '../streams/streamProperties.fixture.js';
import type { DeliveryEvent } from '../streams/types.js';
import { mergeVerdicts } from '../streams/verdicts.js';

const SEED = 606;
const RUNS = 2_000;
const ALL_MECHANISMS: Mechanisms = {
  fence: 'enabled',
  readBack: 'enabled',
  carryForward: 'enabled',
};
const FALSE_NOT_RUN = /reported as not-run and ran/;

// Guards against a refusal that ignores an earlier attempt or generation that ran (P6), while links
// lose, delay and refuse messages, leases expire, endpoints leave and restart, and engines fail.
test('P6: a call or resume that is refused as not run was not run', (t) => {
  fc.assert(buildRefusalProperty(ALL_REFUSAL_MECHANISMS), { seed: SEED, numRuns: RUNS });
  t.pass();
});

const VARIANTS_WITHOUT_MECHANISM: Readonly<Record<string, readonly [RefusalMechanisms, RegExp]>> = {
  'the verdicts of earlier attempts': [
    { ...ALL_REFUSAL_MECHANISMS, resolve: (_earlier, failure) => failure },
    /a call was reported/,
  ],
  'the verdict of a refused resume': [
    { ...ALL_REFUSAL_MECHANISMS, refuseResume: (failure) => failure },
    /a resume was reported/,
  ],
};

// Guards against a simulation that cannot detect the absence of a mechanism.
for (const [name, [mechanisms, violation]] of Object.entries(VARIANTS_WITHOUT_MECHANISM)) {
  test(`P6: the simulation finds a violation without ${name}`, (t) => {
    const result = fc.check(buildRefusalProperty(mechanisms), { seed: SEED, numRuns: RUNS });
    t.regex(String(result.errorInstance), violation);
  });
}

/** End of one attempt of a generation; all attempts but a refused start may have run. */
type AttemptEnd = 'start-refused' | 'engine-failed' | 'endpoint-gone' | 'resume-refused';

const anyAttempts = fc.array(
  fc.constantFrom<AttemptEnd[]>(
    'start-refused',
    'engine-failed',
    'endpoint-gone',
    'resume-refused',
  ),
  { maxLength: 5 },
);

const REFUSED = createFailure('not-run', 'overloaded', 'no free slot');
const FAILED = createFailure(
  'may-have-run',
  'endpoint-failed',
  'the engine ended the answer early',
);
const SHED = createFailure('not-run', 'shed', 'the queue is full');

const listEvents = (end: AttemptEnd, attempt: number): readonly DeliveryEvent[] => {
  const generationId = `g${attempt.toString()}`;
  const source = { generationId, endpoint: 'e', incarnation: 'i' };
  const started = { kind: 'attempt-started', source } as const;
  switch (end) {
    case 'start-refused':
      return [started, { kind: 'failed', generationId, link: 0, failure: REFUSED }];
    case 'engine-failed':
      return [started, { kind: 'failed', generationId, link: 0, failure: FAILED }];
    case 'endpoint-gone':
      return [started, { kind: 'endpoint-gone', endpoint: 'e', incarnation: 'i' }];
    case 'resume-refused':
      return [
        started,
        { kind: 'link-lost', generationId, link: 0, now: 0 },
        { kind: 'failed', generationId, link: 1, failure: REFUSED },
      ];
    default:
      return assertNever(end);
  }
};

const buildGenerationProperty = (decide: DecideDelivery) =>
  fc.property(anyAttempts, fc.constantFrom('whole', 'incremental'), (ends, delivery) => {
    const gaveUp: DeliveryEvent = { kind: 'attempts-ended', failure: SHED };
    let state = initDelivery(delivery);
    for (const event of [...ends.flatMap(listEvents), gaveUp]) {
      const step = decide(state, event);
      state = step.state;
      for (const effect of step.effects) {
        const isNotRun = effect.kind === 'fail' && effect.failure.verdict === 'not-run';
        if (isNotRun && ends.some((end) => end !== 'start-refused')) {
          throw new Error('reported as not-run and ran');
        }
      }
    }
    return state.phase === 'ended';
  });

// Guards against a generation that is reported as not run although one of its attempts started.
test('P6: a generation that is refused as not run was not run', (t) => {
  fc.assert(buildGenerationProperty(decideDelivery), { seed: SEED, numRuns: RUNS });
  fc.assert(buildTokensProperty(decideDelivery), { seed: SEED, numRuns: 500 });
  t.pass();
});

/** Variant that treats the refusal of a resume as the refusal of a start. */
const decideWithoutLinks: DecideDelivery = (state, event) => {
  const step = decideDelivery(state, event);
  if (event.kind !== 'failed' || step.state.phase !== 'idle') return step;
  const verdict = mergeVerdicts(state.verdict, event.failure.verdict);
  return { ...step, state: { ...step.state, verdict } };
};

/** Variant that ignores the verdicts of earlier attempts. */
const decideWithoutVerdicts: DecideDelivery = (state, event) =>
  decideDelivery({ ...state, verdict: 'not-run' }, event);

// Guards against a simulation that cannot detect the absence of a mechanism.
test('P6: the simulation finds a violation without the link check or the merged verdicts', (t) => {
  for (const variant of [decideWithoutLinks, decideWithoutVerdicts]) {
    const result = fc.check(buildGenerationProperty(variant), { seed: SEED, numRuns: RUNS });
    t.regex(String(result.errorInstance), FALSE_NOT_RUN);
  }
});

const buildKeyedProperty = (mechanisms: Mechanisms) =>
  fc.property(buildCommandList('faults'), (commands) => {
    const { violations } = runCommands(commands, mechanisms);
    const falseReports = violations.filter((violation) =>
      /was reported as not-run and ran/.test(violation),
    );
    if (falseReports.length > 0) throw new Error(falseReports.join('; '));
  });

// Guards against a keyed call that is reported as not run while its nonce can still start.
test('P6: a keyed call that is refused as not run was not run', (t) => {
  fc.assert(buildKeyedProperty(ALL_MECHANISMS), { seed: SEED, numRuns: 500 });
  t.pass();
});

// Guards against a simulation that cannot detect the absence of the fence.
test('P6: the simulation finds a violation without the fence', (t) => {
  const result = fc.check(buildKeyedProperty({ ...ALL_MECHANISMS, fence: 'disabled' }), {
    seed: SEED,
    numRuns: RUNS,
    endOnFailure: true,
  });
  t.regex(String(result.errorInstance), FALSE_NOT_RUN);
});
