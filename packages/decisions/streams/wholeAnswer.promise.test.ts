import test from 'ava';
import fc from 'fast-check';
import { decideDelivery } from './delivery.js';
import type { DecideDelivery } from './faultyStreams.fixture.js';
import { buildAnswersProperty, decideWithoutGenerations } from './streamProperties.fixture.js';

const SEED = 7_041;
const RUNS = 1_500;

const decideWithoutCount: DecideDelivery = (state, event) =>
  decideDelivery(state, event.kind === 'finished' ? { ...event, chunkCount: state.next } : event);

// Guards against an answer that is reported whole with a part missing, or that belongs to another
// request (P5), when answers arrive late, twice, crossed or not at all.
test('P5: an answer that ended is the whole answer of its own generation', (t) => {
  fc.assert(buildAnswersProperty(decideDelivery), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a simulation too tame to need the mechanism.
test('P5: the simulation breaks an answer without the count or the generation check', (t) => {
  for (const variant of [decideWithoutCount, decideWithoutGenerations]) {
    const result = fc.check(buildAnswersProperty(variant), { seed: SEED, numRuns: RUNS });
    t.regex(String(result.errorInstance), /not a prefix of one generation|ended after/);
  }
});
