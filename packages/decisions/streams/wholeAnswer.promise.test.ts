import test from 'ava';
import fc from 'fast-check';
import { decideDelivery } from './delivery.js';
import { buildStreamProperty, decideWithoutGenerations } from './faultyStreams.fixture.js';
import type { DecideDelivery, SimulationAction } from './faultyStreams.fixture.js';

const SEED = 7_041;
const RUNS = 1_500;

const anyAction: fc.Arbitrary<SimulationAction> = fc.record({
  kind: fc.constantFrom(
    ...(['produce', 'produce', 'produce', 'deliver', 'deliver', 'deliver', 'drop'] as const),
    ...(['duplicate', 'cross', 'cross', 'advance', 'cut', 'kill-entry', 'kill-endpoint'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

const anyActions = fc.array(anyAction, { maxLength: 120, size: 'max' });

const buildProperty = (decide: DecideDelivery) =>
  buildStreamProperty(['whole', 'incremental', 'whole'], anyActions, decide);

const decideWithoutCount: DecideDelivery = (state, event) =>
  decideDelivery(state, event.kind === 'finished' ? { ...event, chunkCount: state.next } : event);

// Guards against an answer that is reported whole with a part missing, or that belongs to another
// request (P5), when answers arrive late, twice, crossed or not at all.
test('P5: an answer that ended is the whole answer of its own generation', (t) => {
  fc.assert(buildProperty(decideDelivery), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a simulation too tame to need the mechanism.
test('P5: the simulation breaks an answer without the count or the generation check', (t) => {
  for (const variant of [decideWithoutCount, decideWithoutGenerations]) {
    const result = fc.check(buildProperty(variant), { seed: SEED, numRuns: RUNS });
    t.regex(String(result.errorInstance), /not a prefix of one generation|ended after/);
  }
});
