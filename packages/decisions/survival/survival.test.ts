import test from 'ava';
import fc from 'fast-check';
import { BUCKET_COUNT, BUCKET_STARTS, BUCKET_WIDTHS, findBucket } from './buckets.js';
import { MAX_TOKENS } from './constants.js';
import { computeBucketHazard, computeSurvival } from './hazard.js';
import { createSurvivalTable } from './survivalTable.js';
import type { SurvivalKey } from './types.js';
import { createRandomSource } from '../../core/random.js';

const RUNS = { seed: 20_261, numRuns: 200 };

const memo: SurvivalKey = { className: 'memo', customer: 'caroni', version: 'v1' };

const observation = fc.record({
  tokens: fc.integer({ min: 0, max: 2 * MAX_TOKENS }),
  end: fc.constantFrom<('finished' | 'censored')[]>('finished', 'censored'),
  customer: fc.constantFrom('a', 'b', 'c'),
});

/** Samples a Lomax distribution, which has a long tail as the lengths of generated answers do. */
const sampleLength = (uniform: number, scale: number): number =>
  Math.floor(scale * ((1 - uniform) ** (-1 / 2.5) - 1));

// Guards against lengths counted in the wrong bucket.
test('every length lies in its bucket', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: MAX_TOKENS - 1 }), (tokens) => {
      const bucket = findBucket(tokens);
      const start = BUCKET_STARTS[bucket] ?? NaN;
      return start <= tokens && tokens < start + (BUCKET_WIDTHS[bucket] ?? NaN);
    }),
    RUNS,
  );
  t.is(findBucket(10 * MAX_TOKENS), BUCKET_COUNT - 1);
});

// Guards against negative, infinite and NaN estimates, which would break the memory forecast.
test('hazards are probabilities and remaining lengths are finite after any observations', (t) => {
  fc.assert(
    fc.property(
      fc.array(observation, { maxLength: 60 }),
      fc.nat(2 * MAX_TOKENS),
      (observations, generated) => {
        const table = createSurvivalTable();
        for (const { tokens, end, customer } of observations) {
          const key = { ...memo, customer };
          if (end === 'finished') table.observeFinished(key, tokens);
          else table.observeCensored(key, tokens);
        }
        const curve = table.getCurve(memo);
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
          const hazard = computeBucketHazard(curve, bucket);
          if (!(hazard >= 0 && hazard <= 1)) return false;
        }
        const { mean, variance, quantile } = table.estimateRemaining(memo, generated);
        const quantiles = [0, 0.1, 0.5, 0.9, 0.999, 1].map(quantile);
        return (
          mean >= 0 &&
          mean <= MAX_TOKENS &&
          variance >= 0 &&
          Number.isFinite(variance) &&
          quantiles.every((value, index) => value >= (quantiles[index - 1] ?? 0)) &&
          quantiles.every(Number.isFinite)
        );
      },
    ),
    RUNS,
  );
  t.pass();
});

// Guards against a biased estimate: the curve must match the sampled distribution with an error
// below 0.05 for survival and 25% for the mean.
test('survival converges to the sampled distribution, with a third of the lengths censored', (t) => {
  const random = createRandomSource(11);
  const table = createSurvivalTable();
  for (let count = 0; count < 6_000; count += 1) {
    const length = sampleLength(random.next(), 600);
    const censoredAt = sampleLength(random.next(), 1_600);
    if (censoredAt < length) table.observeCensored(memo, censoredAt);
    else table.observeFinished(memo, length);
  }
  const curve = table.getCurve(memo);
  for (const tokens of [50, 100, 200, 400, 800, 1_600]) {
    const truth = (1 + tokens / 600) ** -2.5;
    t.true(Math.abs(computeSurvival(curve, 0, tokens) - truth) < 0.05, tokens.toString());
  }
  const { mean } = table.estimateRemaining(memo, 400);
  const truth = (600 + 400) / 1.5;
  t.true(Math.abs(mean / truth - 1) < 0.25, mean.toString());
});

// Guards against estimates that lag behind when a customer's output lengths change.
test('estimates follow a change of the distribution', (t) => {
  const random = createRandomSource(12);
  const table = createSurvivalTable();
  for (let count = 0; count < 3_000; count += 1) {
    table.observeFinished(memo, sampleLength(random.next(), 2_000));
  }
  const before = table.estimateRemaining(memo, 0).mean;
  for (let count = 0; count < 3_000; count += 1) {
    table.observeFinished(memo, sampleLength(random.next(), 60));
  }
  t.true(table.estimateRemaining(memo, 0).mean < before / 8);
});

// Guards against using the prior for a new customer although its class has been observed.
test('a key without observations uses the estimate of its class', (t) => {
  const table = createSurvivalTable();
  for (let count = 0; count < 500; count += 1) table.observeFinished(memo, 20);
  const other = { ...memo, customer: 'new' };
  t.true(table.estimateRemaining(other, 0).quantile(0.9) < 60);
  t.true(table.estimateRemaining({ ...other, className: 'sweep' }, 0).quantile(0.9) > 200);
});

// Guards against a table that grows with the number of customers ever observed.
test('the number of tracked keys stays within its bound and the least recent key is evicted', (t) => {
  const table = createSurvivalTable({ maxKeys: 10 });
  for (let count = 0; count < 400; count += 1) table.observeFinished(memo, 10);
  for (let customer = 0; customer < 9; customer += 1) {
    for (let count = 0; count < 50; count += 1) {
      table.observeFinished({ ...memo, customer: customer.toString() }, 4_000);
    }
  }
  t.is(table.countKeys(), 10);
  const trackedMean = table.estimateRemaining(memo, 0).mean;
  table.observeFinished({ ...memo, customer: 'last' }, 4_000);
  t.is(table.countKeys(), 10);
  t.true(table.estimateRemaining(memo, 0).mean > 5 * trackedMean);
});
