import test from 'ava';
import fc from 'fast-check';
import { decideMove, getNewVersionShare, initMove } from './move.js';
import { buildReportsProperty } from './moveProperty.fixture.js';
import { MOVE } from './moveSimulation.fixture.js';
import {
  SIGNIFICANT_LOG_EVIDENCE,
  computeConcurrentLogRatio,
  computeHistoricalLogRatio,
  computeLogEvidence,
  computeRateUpperBound,
  initSequentialTest,
  updateSequentialTest,
} from './sequentialTest.js';
import { chooseVersion } from './share.js';
import { createRandomSource } from '../../core/random.js';

const SEED = 49;
const RUNS = 500;

const countCombinations = (from: number, chosen: number): number => {
  let result = 1;
  for (let index = 0; index < chosen; index += 1) result *= (from - index) / (index + 1);
  return result;
};

// Guards against a false-alarm rate above the stated one: under the null hypothesis the expectation
// of each likelihood ratio must be exactly 1.
test('likelihood ratios have mean 1 when the new version is as good as the old one', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 30 }),
    fc.integer({ min: 1, max: 30 }),
    fc.nat(60),
    fc.constantFrom(3, 10, 50),
    (newTally, old, wanted, oddsRatio) => {
      const faults = Math.min(wanted, newTally + old);
      let mean = 0;
      for (let count = Math.max(0, faults - old); count <= Math.min(faults, newTally); count += 1) {
        const ways = countCombinations(newTally, count) * countCombinations(old, faults - count);
        const factor = computeConcurrentLogRatio(
          { answers: newTally, faults: count },
          { answers: old, faults: faults - count },
          oddsRatio,
        );
        mean += (ways / countCombinations(newTally + old, faults)) * Math.exp(factor);
      }
      return Math.abs(mean - 1) < 1e-9;
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  const rate = 0.07;
  const hit = Math.exp(computeHistoricalLogRatio({ answers: 1, faults: 1 }, rate, 10));
  const miss = Math.exp(computeHistoricalLogRatio({ answers: 1, faults: 0 }, rate, 10));
  t.true(Math.abs(rate * hit + (1 - rate) * miss - 1) < 1e-9);
});

// Guards against overflow of the partial sums when a whole fleet fails at once.
test('large counts give finite evidence in the right direction', (t) => {
  const worse = computeConcurrentLogRatio(
    { answers: 90_000, faults: 60_000 },
    { answers: 90_000, faults: 900 },
    50,
  );
  const same = computeConcurrentLogRatio(
    { answers: 90_000, faults: 60_000 },
    { answers: 90_000, faults: 60_000 },
    50,
  );
  t.true(Number.isFinite(worse) && worse > 1_000);
  t.true(Number.isFinite(same) && same < 0);
  t.true(computeRateUpperBound({ answers: 1_000, faults: 10 }) < 0.05);
  t.is(computeRateUpperBound({ answers: 0, faults: 0 }), 1);
});

// Guards against false alarms from repeated testing: two equal versions are evaluated 20,000 times.
test('repeated evaluation of equal versions finds no significant fault', (t) => {
  const random = createRandomSource(SEED);
  const sampleTally = (answers: number) => ({
    answers,
    faults: Array.from({ length: answers }, () => random.next()).filter((draw) => draw < 0.05)
      .length,
  });
  let sequentialTest = initSequentialTest();
  let largest = 0;
  for (let evaluation = 0; evaluation < 20_000; evaluation += 1) {
    const newTally = sampleTally(3);
    const old = sampleTally(12);
    const factors = [3, 10, 50].map((ratio) => computeConcurrentLogRatio(newTally, old, ratio));
    sequentialTest = updateSequentialTest(sequentialTest, factors, 0.5 / 20_000);
    largest = Math.max(largest, computeLogEvidence(sequentialTest));
  }
  t.true(largest < SIGNIFICANT_LOG_EVIDENCE);
});

// Guards against evidence that is counted twice, reduced by a late report, or lost at a restart.
test('repeated, late and reordered reports add up to the newest count of each incarnation', (t) => {
  fc.assert(buildReportsProperty(), { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a request that switches back to the old version while the share grows.
test('a request sent to the new version is sent there at every larger share', (t) => {
  const share = fc.double({ min: 0, max: 1, noNaN: true });
  const property = fc.property(share, share, fc.nat(2 ** 32 - 1), (left, right, hash) => {
    const larger = chooseVersion(Math.max(left, right), hash);
    return chooseVersion(Math.min(left, right), hash) === 'old' || larger === 'new';
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.is(chooseVersion(0, 0), 'old');
  t.is(chooseVersion(1, 2 ** 32 - 1), 'new');
});

// Guards against a stop that waits for the log, and against a lost append that is never retried.
test('a stop is effective locally at once, and its record is appended until read back', (t) => {
  const moving = decideMove(initMove(), { kind: 'move-record', move: MOVE, now: 0 }).state;
  t.is(getNewVersionShare(moving, 'r'), 0.04);
  const stopped = decideMove(moving, { kind: 'rollback-order', author: 'o', now: 10 });
  t.is(getNewVersionShare(stopped.state, 'r'), 0);
  t.deepEqual(stopped.effects.at(-1), { kind: 'append-ended', name: 'm', outcome: 'taken-back' });
  const again = decideMove(stopped.state, { kind: 'tick', now: 2_010 });
  t.deepEqual(again.effects, [{ kind: 'append-ended', name: 'm', outcome: 'taken-back' }]);
  const done = { kind: 'ended-record', name: 'm', outcome: 'done', offset: 4 } as const;
  const overruled = decideMove(again.state, done);
  t.like(overruled.effects.at(-1), { kind: 'needs-operator', reason: 'faults-after-done' });
  const late = { ...done, outcome: 'taken-back', offset: 5 } as const;
  t.is(decideMove(overruled.state, late).state.phase, 'done');
});
