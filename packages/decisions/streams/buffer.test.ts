import test from 'ava';
import fc from 'fast-check';
import { decideBuffer, initBuffer } from './buffer.js';
import { BUFFER_LIMITS, buildBufferProperty } from './bufferProperty.fixture.js';
import type { BufferEvent } from './bufferTypes.js';

const SEED = 77;
const RUNS = 2_000;

const toReader = (stream: string, link = 0) => ({ stream, link });

// Guards against a buffer that grows without bound, sends a chunk under a wrong number, skips one,
// or sends the end before the last chunk.
for (const orphans of ['cancelled', 'kept'] as const) {
  test(`a buffer stays within its limits and sends its chunks in order, orphans ${orphans}`, (t) => {
    fc.assert(buildBufferProperty(orphans), { seed: SEED, numRuns: RUNS });
    t.pass();
  });
}

const run = (...events: readonly BufferEvent[]) => {
  const first = decideBuffer(initBuffer(0, BUFFER_LIMITS), { kind: 'tick', now: 0 });
  return events.reduce((step, event) => decideBuffer(step.state, event), first);
};

const open = (stream: string, fromNumber = 0, link = 0): BufferEvent => ({
  kind: 'reader-opened',
  ...toReader(stream, link),
  fromNumber,
  now: 0,
});
const buildProduced = (count: number): BufferEvent => ({
  kind: 'engine-chunks',
  chunks: Array.from({ length: count }, () => 'x'),
  now: 0,
});

// Guards against two active readers of one generation, and against a late resume of the older one
// that replaces the newer.
test('a newer reader replaces the older one permanently', (t) => {
  const step = run(open('a'), open('b'));
  t.like(step.effects[0], { kind: 'send-failed', stream: 'a', failure: { code: 'lost-race' } });
  const late = decideBuffer(step.state, open('a', 0, 1));
  t.like(late.effects[0], { kind: 'send-failed', stream: 'a', failure: { code: 'lost-race' } });
  t.is(late.state.reader?.stream, 'b');
});

// Guards against engine memory in use for an orphaned generation, and against a buffer that is
// never released.
test('an orphan is cancelled at the engine and an ended generation is released', (t) => {
  const step = run(buildProduced(1), { kind: 'tick', now: 9_999 }, { kind: 'tick', now: 10_000 });
  t.deepEqual(step.effects, [{ kind: 'cancel-engine' }]);
  const resumed = decideBuffer(step.state, open('a'));
  t.deepEqual(
    resumed.effects.map((effect) => effect.kind),
    ['send-chunks', 'send-failed'],
  );
  const released = decideBuffer(step.state, { kind: 'tick', now: 40_000 });
  t.deepEqual(released.effects, [{ kind: 'release' }]);
});

// Guards against a generation with an idempotency key that is cancelled, or stays paused, because
// its caller disconnected; the caller could then never retrieve the answer.
test('a kept generation without a reader keeps running and retains its newest chunks', (t) => {
  let state = initBuffer(0, { ...BUFFER_LIMITS, orphans: 'kept' });
  const apply = (event: BufferEvent): void => {
    const step = decideBuffer(state, event);
    state = step.state;
    t.deepEqual(step.effects, []);
  };
  for (let produced = 0; produced < 100; produced += 4) apply(buildProduced(4));
  apply({ kind: 'tick', now: 60_000 });
  t.is(state.phase, 'generating');
  t.true(state.ring.getNext() - state.ring.getFirst() <= BUFFER_LIMITS.maxChunks);
  apply({ kind: 'engine-finished', usage: '', now: 60_000 });
  t.is(state.phase, 'ended');
});

// Guards against cancelling a generation that must run only once because its caller is slow.
test('a slow reader loses its stream while a kept generation keeps running', (t) => {
  const first = decideBuffer(initBuffer(0, { ...BUFFER_LIMITS, orphans: 'kept' }), open('a'));
  const step = decideBuffer(first.state, buildProduced(8));
  const slow = decideBuffer(step.state, { kind: 'tick', now: 15_000 });
  t.deepEqual(
    slow.effects.map(({ kind }) => kind),
    ['send-failed', 'continue-engine'],
  );
  t.is(slow.state.phase, 'generating');
  t.is(slow.state.reader, null);
});

// Guards against a resume that silently skips chunks, and against a slow caller that exhausts the
// memory.
test('a resume at a dropped chunk is refused, and a slow reader pauses the engine, then loses the stream', (t) => {
  const acknowledged = {
    kind: 'reader-acknowledged',
    ...toReader('a'),
    nextNumber: 5,
    now: 0,
  } as const;
  const paused = run(open('a'), buildProduced(5), acknowledged, buildProduced(8));
  t.deepEqual(paused.effects.at(-1), { kind: 'pause-engine' });
  const slow = decideBuffer(paused.state, { kind: 'tick', now: 15_000 });
  t.like(slow.effects[0], { kind: 'send-failed', failure: { code: 'stream-lost' } });
  t.deepEqual(slow.effects[1], { kind: 'cancel-engine' });
  const full = run(
    open('a'),
    buildProduced(5),
    acknowledged,
    buildProduced(5),
    { ...acknowledged, nextNumber: 10 },
    buildProduced(7),
  );
  t.like(decideBuffer(full.state, open('a', 0, 1)).effects[0], {
    kind: 'send-failed',
    failure: { code: 'stream-lost', verdict: 'may-have-run' },
  });
});
