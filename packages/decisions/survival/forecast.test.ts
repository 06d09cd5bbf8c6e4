import test from 'ava';
import {
  applySequence,
  computeNormalTail,
  createMemoryChange,
  estimateMemory,
  mergeMemoryChange,
} from './forecast.js';
import { computeSurvival, PRIOR_CURVE } from './hazard.js';
import { createRandomSource } from '../../core/random.js';

// Guards against a wrong sign or scale of the normal tail approximation.
test('the normal tail matches tabulated values', (t) => {
  for (const [z, expected] of [
    [0, 0.5],
    [1.644854, 0.05],
    [2.326348, 0.01],
    [-1, 0.841345],
  ] as const) {
    t.true(Math.abs(computeNormalTail(z) - expected) < 1e-6, z.toString());
  }
});

// Guards against a biased overflow forecast. The forecast is the highest probability of any single
// step, so the sampled value is too; the probability of an overflow at any of the steps is up to
// 0.1 higher. The error must stay below 0.05 for 4 to 64 sequences.
for (const count of [4, 16, 64]) {
  test(`the overflow probability of ${count.toString()} sequences matches sampling`, (t) => {
    const random = createRandomSource(count);
    const change = createMemoryChange();
    const sequences = Array.from({ length: count }, (_, index) => ({
      generated: 100 + 37 * index,
      size: 500 + 37 * index,
    }));
    const used = sequences.reduce((sum, sequence) => sum + sequence.size, 0);
    for (const { generated, size } of sequences) {
      applySequence(change, PRIOR_CURVE, generated, size);
    }
    for (const margin of [0, 0.02, 0.05]) {
      const budget = { used, total: used * (1 + margin), horizonTokens: 64 };
      const overflows = [0, 0];
      for (let sample = 0; sample < 4_000; sample += 1) {
        const atStep = [16, 64].map(() => used);
        for (const { generated, size } of sequences) {
          const uniform = random.next();
          [16, 64].forEach((tokens, step) => {
            const isAlive = uniform < computeSurvival(PRIOR_CURVE, generated, tokens);
            atStep[step] = (atStep[step] ?? 0) + (isAlive ? tokens : -size);
          });
        }
        atStep.forEach((memory, step) => {
          if (memory > budget.total) overflows[step] = (overflows[step] ?? 0) + 1;
        });
      }
      const predicted = estimateMemory(budget, change).overflowProbability;
      const sampled = Math.max(...overflows) / 4_000;
      t.log(
        `margin ${margin.toString()}: predicted ${predicted.toFixed(3)}, sampled ${sampled.toFixed(3)}`,
      );
      t.true(Math.abs(predicted - sampled) < 0.05);
    }
  });
}

// Guards against sums that retain part of a subtracted change.
test('adding a memory change and subtracting it again results in zero', (t) => {
  const sum = createMemoryChange();
  const change = createMemoryChange();
  applySequence(change, PRIOR_CURVE, 10, 500);
  mergeMemoryChange(sum, change);
  mergeMemoryChange(sum, change, -1);
  t.deepEqual(sum, createMemoryChange());
});
