import test from 'ava';
import fc from 'fast-check';
import { decideBuffer, initBuffer } from './buffer.js';
import type { BufferEvent, BufferState } from './bufferTypes.js';

const SEED = 77;
const RUNS = 2_000;
const LIMITS = { maxChunks: 16, maxBytes: 200, windowChunks: 5, orphans: 'cancelled' } as const;

const toReader = (stream: string, link = 0) => ({ stream, link });
const anyReader = fc.record({ stream: fc.constantFrom('a', 'b'), link: fc.nat({ max: 3 }) });
const anyCommand = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('produce' as const), count: fc.nat(3) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('open' as const), who: anyReader, from: fc.nat(40) }),
  },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('take' as const), who: anyReader, to: fc.nat(40) }),
  },
  fc.record({ kind: fc.constant('close' as const), who: anyReader }),
  fc.record({ kind: fc.constant('tick' as const), by: fc.nat(6_000) }),
  fc.record({ kind: fc.constantFrom('finish' as const, 'fail' as const) }),
);

// Guards against a buffer that grows without bound, sends a wrong chunk under a number, skips one,
// or ends before the reader has all of them.
for (const orphans of ['cancelled', 'kept'] as const) {
  test(`a buffer stays within its bounds and sends its chunks in order, orphans ${orphans}`, (t) => {
    const property = fc.property(
      fc.array(anyCommand, { maxLength: 80, size: 'max' }),
      (commands) => {
        let state: BufferState = initBuffer(0, { ...LIMITS, orphans });
        let now = 0;
        let produced = 0;
        const next = new Map<string, number>();
        const apply = (event: BufferEvent): void => {
          const step = decideBuffer(state, event);
          state = step.state;
          for (const effect of step.effects) {
            if (!('stream' in effect)) continue;
            const key = `${effect.stream}${effect.link.toString()}`;
            if (effect.kind === 'send-finished' && next.get(key) !== produced)
              throw new Error('early');
            if (effect.kind !== 'send-chunks') continue;
            if (next.get(key) !== effect.firstNumber) throw new Error(`gap before ${key}`);
            effect.chunks.forEach((chunk, at) => {
              if (chunk !== `chunk ${(effect.firstNumber + at).toString()}`) throw new Error(chunk);
            });
            next.set(key, effect.firstNumber + effect.chunks.length);
          }
          const untaken = state.reader === null ? 0 : state.reader.sent - state.reader.taken;
          if (untaken > LIMITS.windowChunks) throw new Error('window exceeded');
          const kept = state.ring.getNext() - state.ring.getFirst();
          const isOver = kept > LIMITS.maxChunks || state.ring.getBytes() > LIMITS.maxBytes;
          if (isOver && state.phase === 'generating')
            throw new Error(`${kept.toString()} chunks kept`);
        };
        for (const command of commands) {
          switch (command.kind) {
            case 'produce': {
              if (state.phase !== 'generating' || state.flow === 'paused') break;
              const chunks = Array.from(
                { length: command.count },
                (_, at) => `chunk ${(produced + at).toString()}`,
              );
              produced += command.count;
              apply({ kind: 'engine-chunks', chunks, now });
              break;
            }
            case 'open': {
              const key = `${command.who.stream}${command.who.link.toString()}`;
              const before = next.get(key);
              next.set(key, command.from);
              apply({ kind: 'reader-opened', ...command.who, fromNumber: command.from, now });
              const isOpen =
                state.reader?.stream === command.who.stream &&
                state.reader.link === command.who.link;
              if (before !== undefined && isOpen) next.set(key, state.reader?.sent ?? 0);
              break;
            }
            case 'take':
              apply({ kind: 'reader-took', ...command.who, nextNumber: command.to, now });
              break;
            case 'close':
              apply({ kind: 'reader-closed', ...command.who, now });
              break;
            case 'tick':
              now += command.by;
              apply({ kind: 'tick', now });
              break;
            case 'finish':
              apply({ kind: 'engine-finished', usage: '', now });
              break;
            case 'fail':
              apply({ kind: 'cancelled', now });
              break;
          }
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: RUNS });
    t.pass();
  });
}

const run = (...events: readonly BufferEvent[]) => {
  const first = decideBuffer(initBuffer(0, LIMITS), { kind: 'tick', now: 0 });
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

// Guards against two readers of one generation, and against a late resume of the older one.
test('a newer reader replaces the older one for good', (t) => {
  const step = run(open('a'), open('b'));
  t.like(step.effects[0], { kind: 'send-failed', stream: 'a', failure: { code: 'lost-race' } });
  const late = decideBuffer(step.state, open('a', 0, 1));
  t.like(late.effects[0], { kind: 'send-failed', stream: 'a', failure: { code: 'lost-race' } });
  t.is(late.state.reader?.stream, 'b');
});

// Guards against engine memory held for nobody, and against a buffer that is kept for ever.
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

// Guards against a generation under a key that is cancelled, or held back for ever, because its
// caller left; the caller would then never get an answer.
test('a kept generation without a reader runs on and keeps its newest chunks', (t) => {
  let state = initBuffer(0, { ...LIMITS, orphans: 'kept' });
  const apply = (event: BufferEvent): void => {
    const step = decideBuffer(state, event);
    state = step.state;
    t.deepEqual(step.effects, []);
  };
  for (let produced = 0; produced < 100; produced += 4) apply(buildProduced(4));
  apply({ kind: 'tick', now: 60_000 });
  t.is(state.phase, 'generating');
  t.true(state.ring.getNext() - state.ring.getFirst() <= LIMITS.maxChunks);
  apply({ kind: 'engine-finished', usage: '', now: 60_000 });
  t.is(state.phase, 'ended');
});

// Guards against a slow caller that ends a generation which must run only once.
test('a slow reader leaves a kept generation running', (t) => {
  const first = decideBuffer(initBuffer(0, { ...LIMITS, orphans: 'kept' }), open('a'));
  const step = decideBuffer(first.state, buildProduced(8));
  const slow = decideBuffer(step.state, { kind: 'tick', now: 15_000 });
  t.deepEqual(
    slow.effects.map(({ kind }) => kind),
    ['send-failed', 'continue-engine'],
  );
  t.is(slow.state.phase, 'generating');
  t.is(slow.state.reader, null);
});

// Guards against a resume that silently skips chunks, and a slow caller that fills the memory.
test('a dropped number is refused and a slow reader pauses the engine, then loses the stream', (t) => {
  const took = { kind: 'reader-took', ...toReader('a'), nextNumber: 5, now: 0 } as const;
  const paused = run(open('a'), buildProduced(5), took, buildProduced(8));
  t.deepEqual(paused.effects.at(-1), { kind: 'pause-engine' });
  const slow = decideBuffer(paused.state, { kind: 'tick', now: 15_000 });
  t.like(slow.effects[0], { kind: 'send-failed', failure: { code: 'stream-lost' } });
  t.deepEqual(slow.effects[1], { kind: 'cancel-engine' });
  const full = run(
    open('a'),
    buildProduced(5),
    took,
    buildProduced(5),
    { ...took, nextNumber: 10 },
    buildProduced(7),
  );
  t.like(decideBuffer(full.state, open('a', 0, 1)).effects[0], {
    kind: 'send-failed',
    failure: { code: 'stream-lost', verdict: 'may-have-run' },
  });
});
