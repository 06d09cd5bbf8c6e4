import test from 'ava';
import fc from 'fast-check';
import { addWaiting, countUsedTokens, planStep, finishStep } from './batch.js';
import type { Batch } from './batch.js';
import { countCachedTokens } from './prefixCache.js';
import { DEFAULT_ENGINE_SETTINGS } from '../constants.js';
import type { Sequence } from '../types.js';

const EMPTY: Batch = { running: [], waiting: [], cache: [] };

const createSequence = (arrival: number, fields: Partial<Sequence> = {}): Sequence => ({
  id: `s${arrival.toString()}`,
  requestId: `r${arrival.toString()}`,
  priority: 0,
  arrival,
  promptTokens: 10,
  targetTokens: 10,
  finishReason: 'stop',
  prefix: `p${arrival.toString()}`,
  version: 'v1',
  generated: 0,
  prefillLeft: 0,
  cachedTokens: 0,
  stalledSince: 'not-stalled',
  ...fields,
});

const buildBatch = (sequences: readonly Sequence[]): Batch => sequences.reduce(addWaiting, EMPTY);

const listIds = (sequences: readonly Sequence[]): readonly string[] =>
  sequences.map(({ id }) => id);

// Guards against a batch that exceeds its memory, loses a sequence or never finishes one.
test('every sequence produces exactly its tokens and memory is never exceeded', (t) => {
  const sequenceArbitrary = fc.record({
    priority: fc.integer({ min: 0, max: 2 }),
    promptTokens: fc.integer({ min: 1, max: 60 }),
    targetTokens: fc.integer({ min: 1, max: 39 }),
    prefix: fc.constantFrom('a', 'b', 'c'),
  });
  const settings = {
    ...DEFAULT_ENGINE_SETTINGS,
    memoryTokens: 100,
    maxRunning: 6,
    prefillTokensPerStep: 16,
    cachedPrefixTokens: 20,
  };
  const run = (fields: readonly Partial<Sequence>[]): void => {
    let batch = buildBatch(fields.map((field, index) => createSequence(index, field)));
    const tokens = new Map<string, number>();
    for (let now = 0; batch.running.length + batch.waiting.length > 0; now += 1) {
      if (now > 5_000) throw new Error('the batch makes no progress');
      const plan = planStep(batch, settings, now);
      const result = finishStep(plan.batch, settings, now);
      batch = result.batch;
      const usedTokens = countUsedTokens(batch.running) + countCachedTokens(batch.cache);
      if (usedTokens > settings.memoryTokens)
        throw new Error(`${usedTokens.toString()} tokens exceed the memory`);
      for (const { id, generated } of result.emitted) {
        if (generated !== (tokens.get(id) ?? 0) + 1) throw new Error(`token of ${id} out of order`);
        tokens.set(id, generated);
      }
    }
    fields.forEach(({ targetTokens }, index) => {
      if (tokens.get(`s${index.toString()}`) !== targetTokens)
        throw new Error('tokens are missing');
    });
  };
  fc.assert(fc.property(fc.array(sequenceArbitrary, { maxLength: 12 }), run), {
    seed: 7,
    numRuns: 300,
  });
  t.pass();
});

// Guards against preemption of urgent or early sequences instead of the newest of lowest priority.
test('full memory preempts the sequence of lowest priority, the newest among equals', (t) => {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, memoryTokens: 42 };
  const running = [
    createSequence(0, { generated: 4 }),
    createSequence(1, { priority: 1, generated: 4 }),
    createSequence(2, { generated: 4 }),
  ];
  const first = planStep({ ...EMPTY, running }, settings, 50);
  t.deepEqual(listIds(first.preempted), ['s1']);
  t.is(first.preempted[0]?.stalledSince, 50);
  const equal = running.map((sequence) => ({ ...sequence, priority: 0 }));
  t.deepEqual(listIds(planStep({ ...EMPTY, running: equal }, settings, 50).preempted), ['s2']);
});

// Guards against a stall that is not measured, or a resumed sequence that loses its tokens.
test('a preempted sequence resumes after recomputation and its stall is measured', (t) => {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, prefillTokensPerStep: 100 };
  const waiting = [createSequence(0, { generated: 5, stalledSince: 100 })];
  const plan = planStep({ ...EMPTY, waiting }, settings, 300);
  t.true(plan.durationMs >= settings.prefillMsPerToken * 15);
  const result = finishStep(plan.batch, settings, 350);
  t.is(result.emitted[0]?.generated, 6);
  t.is(result.stalledMs, 250);
});

// Guards against an urgent sequence that waits behind one of lower priority.
test('a more urgent sequence preempts a less urgent one when memory is full', (t) => {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, memoryTokens: 40 };
  const running = [createSequence(0, { priority: 2, promptTokens: 30 })];
  const batch = addWaiting({ ...EMPTY, running }, createSequence(1, { promptTokens: 30 }));
  const plan = planStep(batch, settings, 0);
  t.deepEqual(listIds(plan.batch.running), ['s1']);
  t.deepEqual(listIds(plan.batch.waiting), ['s0']);
});

// Guards against a cached prefix that saves no prefill or is kept when sequences need its memory.
test('a cached prefix shortens the prefill and is evicted for sequences', (t) => {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, memoryTokens: 100, cachedPrefixTokens: 40 };
  const prompt = { promptTokens: 50, prefix: 'shared', targetTokens: 1 };
  const cold = planStep(buildBatch([createSequence(0, prompt)]), settings, 0);
  const { batch, changes } = finishStep(cold.batch, settings, 1);
  t.deepEqual(changes, [{ kind: 'stored', prefix: 'shared' }]);
  const warm = planStep(addWaiting(batch, createSequence(1, prompt)), settings, 2);
  t.is(warm.batch.running[0]?.cachedTokens, 40);
  t.true(warm.durationMs < cold.durationMs);
  const large = planStep(addWaiting(batch, createSequence(2, { promptTokens: 90 })), settings, 2);
  t.deepEqual(large.changes, [{ kind: 'evicted', prefix: 'shared' }]);
});

// Guards against a sequence that fills the whole memory and blocks the engine forever.
test('a sequence that fills the whole memory on its own is finished', (t) => {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, memoryTokens: 20 };
  const running = [createSequence(0, { generated: 9, targetTokens: 500 })];
  const result = finishStep(planStep({ ...EMPTY, running }, settings, 0).batch, settings, 1);
  t.deepEqual(listIds(result.finished), ['s0']);
});
