import test from 'ava';
import fc from 'fast-check';
import { createNonceTable, decideNonce } from './nonces.js';
import { createModelId } from './testing/simulation.js';
import type { NonceEvent } from './types.js';

const SETTINGS = { windowMs: 1_000, answerRetentionMs: 100, maxAnswerBytes: 10, maxEntries: 4 };
const simulation = { sequence: 0 };

const createTable = () => createNonceTable('i', SETTINGS);
const createNonce = (at = 0) => createModelId(simulation, at);
const buildAnswer = (bytes: number) => ({
  status: 200,
  headers: [],
  body: new Uint8Array(bytes),
  bodyDigest: 'd',
});

// Guards against a paused owner that starts a call after another daemon has taken over its key.
test('a fenced nonce never starts and a started one is never fenced', (t) => {
  const table = createTable();
  const [first, second] = [createNonce(), createNonce()];
  const at = { incarnation: 'i', now: 1 };
  t.deepEqual(decideNonce(table, { kind: 'fence', nonce: first, ...at }), {
    kind: 'fence',
    result: { kind: 'fenced' },
  });
  t.like(decideNonce(table, { kind: 'start', nonce: first, ...at }), {
    kind: 'refuse',
    failure: { verdict: 'not-run', code: 'fenced' },
  });
  t.is(decideNonce(table, { kind: 'start', nonce: second, ...at }).kind, 'run');
  t.like(decideNonce(table, { kind: 'fence', nonce: second, ...at }), {
    result: { kind: 'started' },
  });
  t.like(decideNonce(table, { kind: 'start', nonce: second, ...at }), {
    failure: { verdict: 'may-have-run' },
  });
});

// Guards against a large answer that exhausts the memory, and against its nonce starting again.
test('an answer too large to retain leaves its status and digest', (t) => {
  const table = createTable();
  const nonce = createNonce();
  const at = { nonce, incarnation: 'i', now: 1 };
  decideNonce(table, { kind: 'start', ...at });
  decideNonce(table, {
    kind: 'finish-without-answer',
    nonce,
    status: 200,
    bodyDigest: 'd',
  });
  t.is(table.answerBytes, 0);
  t.deepEqual(decideNonce(table, { kind: 'fence', ...at }), {
    kind: 'fence',
    result: { kind: 'finished', answer: null, status: 200, bodyDigest: 'd' },
  });
  t.like(decideNonce(table, { kind: 'start', ...at }), { failure: { verdict: 'may-have-run' } });
});

// Guards against an incarnation that starts or fences nonces of an earlier one.
test('another incarnation neither starts nor fences', (t) => {
  const at = { nonce: createNonce(), incarnation: 'older', now: 1 };
  t.like(decideNonce(createTable(), { kind: 'start', ...at }), {
    failure: { verdict: 'not-run', code: 'stale-incarnation' },
  });
  t.like(decideNonce(createTable(), { kind: 'fence', ...at }), {
    result: { kind: 'unknown-incarnation' },
  });
});

// Guards against unbounded retained answers, and against a result lost with its answer.
test('answers are evicted by age and size, and their status is retained', (t) => {
  const table = createTable();
  const nonces = [createNonce(), createNonce()];
  for (const nonce of nonces) {
    decideNonce(table, { kind: 'start', nonce, incarnation: 'i', now: 1 });
    decideNonce(table, { kind: 'finish', nonce, answer: buildAnswer(6), now: 1 });
  }
  const fenceAt = (index: number) =>
    decideNonce(table, {
      kind: 'fence',
      nonce: nonces[index] as string,
      incarnation: 'i',
      now: 1,
    });
  t.like(fenceAt(0), { result: { kind: 'finished', answer: null, status: 200 } });
  t.like(fenceAt(1), { result: { kind: 'finished', answer: { status: 200 } } });
  decideNonce(table, { kind: 'expire', now: 101 });
  t.like(fenceAt(1), { result: { kind: 'finished', answer: null, bodyDigest: 'd' } });
  t.is(table.answerBytes, 0);
});

// Guards against unbounded entries, and against a full table that leaves keys unresolved.
test('a full table refuses starts before it refuses fences', (t) => {
  const table = createTable();
  for (let index = 0; index < 4; index += 1) {
    decideNonce(table, { kind: 'start', nonce: createNonce(), incarnation: 'i', now: 1 });
  }
  const at = { incarnation: 'i', now: 1 };
  t.like(decideNonce(table, { kind: 'start', nonce: createNonce(), ...at }), {
    failure: { verdict: 'not-run', code: 'overloaded' },
  });
  t.is(decideNonce(table, { kind: 'fence', nonce: createNonce(), ...at }).kind, 'fence');
  t.is(decideNonce(table, { kind: 'fence', nonce: createNonce(), ...at }).kind, 'refuse');
});

// Guards against a dropped entry that lets a nonce start after its fence, or start twice.
test('no nonce starts twice or after its fence, however entries expire', (t) => {
  const pool = [0, 300, 900].map(createNonce);
  const step = fc.record({
    kind: fc.constantFrom('start' as const, 'fence' as const, 'expire' as const),
    pick: fc.nat({ max: 2 }),
    wait: fc.constantFrom(0, 10, 400),
  });
  t.notThrows(() => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const table = createNonceTable('i', { ...SETTINGS, maxEntries: 100 });
        const closed = new Set<string>();
        let now = 0;
        for (const { kind, pick, wait } of steps) {
          now += wait;
          const nonce = pool[pick] as string;
          const event: NonceEvent =
            kind === 'expire' ? { kind, now } : { kind, nonce, incarnation: 'i', now };
          const decision = decideNonce(table, event);
          if (decision.kind === 'run' && closed.has(nonce)) return false;
          const fenced = decision.kind === 'fence' && decision.result.kind === 'fenced';
          if (decision.kind === 'run' || fenced) closed.add(nonce);
        }
        return true;
      }),
      { seed: 3, numRuns: 2_000 },
    );
  });
});
