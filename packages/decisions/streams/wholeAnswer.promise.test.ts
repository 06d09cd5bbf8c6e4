import test from 'ava';
import fc from 'fast-check';
import { decideDelivery } from './delivery.js';
import type { DecideDelivery } from './faultyStreams.fixture.js';
import { buildAnswersProperty, decideWithoutGenerations } from './streamProperties.fixture.js';

const SEED = 7_041;
const RUNS = 1_500;

const decideWithoutCount: DecideDelivery = (state, event) =>
  decideDelivery(state, event.kind === 'finished' ? { ...event, chunkCount: state.next } : event);

// Guards against an answer that is reported as complete with a part missing, or that belongs to
// another request (P5), while answers arrive late, twice, at the wrong caller or not at all.
test('P5: a finished answer is the complete answer of its own generation', (t) => {
  fc.assert(buildAnswersProperty(decideDelivery), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a simulation that passes without the mechanism under test.
test('P5: the simulation finds a violation without the check of the chunk count or of generations', (t) => {
  for (const variant of [decideWithoutCount, decideWithoutGenerations]) {
    const result = fc.check(buildAnswersProperty(variant), { seed: SEED, numRuns: RUNS });
    t.regex(String(result.errorInstance), /not a prefix of one generation|ended after/);
  }
});
