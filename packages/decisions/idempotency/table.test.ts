import test from 'ava';
import fc from 'fast-check';
import { planCarryForward } from './carryForward.js';
import { createIntentTable, expireChains, findChain, foldIntentBatch } from './table.js';
import type { IntentTable } from './table.js';
import type { IntentStreamRecord, Nonce } from './types.js';

const SETTINGS = { keyWindowMs: 1_000, maxUntimedKeys: 10, maxTimedKeys: 10 };
const OF_KEY = { format: 1, customer: 'c', key: 'k', issuedAt: 0, at: 0 } as const;

const buildIntent = (nonce: Nonce, previous: Nonce | null): IntentStreamRecord => {
  const placement = { endpoint: 'e', incarnation: 'i', entry: 'd' };
  return { kind: 'intent', ...OF_KEY, ...placement, fingerprint: 'f', nonce, previous };
};
const buildOutcome = (nonce: Nonce, verdict: 'ran' | 'may-have-run'): IntentStreamRecord => {
  return { kind: 'outcome', ...OF_KEY, nonce, verdict, status: 200, bodyDigest: 'd' };
};
const buildAbandoned = (nonce: Nonce): IntentStreamRecord => ({
  kind: 'abandoned',
  ...OF_KEY,
  nonce,
});

const foldFrom = (table: IntentTable, firstOffset: number, all: readonly IntentStreamRecord[]) => {
  const from = Math.max(firstOffset, table.nextOffset);
  const records = all.slice(from).map((record, index) => ({ offset: from + index, record }));
  return foldIntentBatch(
    table,
    { firstOffset, nextOffset: all.length, records, end: 'reached' },
    0,
  );
};

const foldAll = (...all: readonly IntentStreamRecord[]) => {
  const table = createIntentTable(SETTINGS);
  const results = foldFrom(table, 0, all);
  return { table, results, link: findChain(table, 'c', 'k')?.link };
};

// Guards against two active intents of one key.
test('the first successor of the active intent wins, and none follows an outcome', (t) => {
  const { results, link } = foldAll(
    buildIntent('a', null),
    buildIntent('b', null),
    buildIntent('c', 'a'),
    buildIntent('d', 'a'),
    buildOutcome('a', 'ran'),
    buildOutcome('c', 'may-have-run'),
    buildOutcome('c', 'ran'),
    buildIntent('e', 'c'),
  );
  t.deepEqual(results, ['active', 'void', 'active', 'void', 'ignored', 'closed', 'closed', 'void']);
  t.like(link, { nonce: 'c', standing: { kind: 'closed', verdict: 'ran' } });
});

// Guards against a different order of intents at daemons that did not read the abandoned record.
test('an intent read after its abandoned record becomes active and is replaceable', (t) => {
  const { results, link } = foldAll(
    buildAbandoned('a'),
    buildIntent('a', null),
    buildIntent('b', null),
    buildIntent('c', 'a'),
  );
  t.deepEqual(results, ['ignored', 'active', 'void', 'active']);
  t.like(link, { nonce: 'c', standing: { kind: 'open' } });
});

// Guards against a chain that is dropped while another daemon still accepts its key.
test('a chain is kept for the clock margin after its window, an untimed one indefinitely', (t) => {
  const { table } = foldAll(buildIntent('a', null), {
    ...buildIntent('b', null),
    key: 'untimed',
    issuedAt: null,
  });
  t.is(expireChains(table, 301_000), 0);
  t.is(expireChains(table, 301_001), 1);
  t.is(table.untimedKeys, 1);
  t.truthy(findChain(table, 'c', 'untimed'));
});

// Guards against a search for due or expired chains that blocks the event loop or misses chains.
test('due chains come first, and expired ones are found in bounded steps', (t) => {
  const table = createIntentTable(SETTINGS);
  const all = [0, 1, 2].map((index) => ({
    ...buildIntent('a', null),
    key: `k${index.toString()}`,
  }));
  foldFrom(table, 0, all);
  const plan = (firstOffset: number) =>
    planCarryForward(table, { firstOffset, now: 0, carryAfterMs: 9, maxRecords: 2 });
  t.deepEqual(
    plan(1).map(({ key }) => key),
    ['k0', 'k1'],
  );
  const log = [...all, ...plan(1)];
  foldFrom(table, 0, log);
  t.deepEqual(
    plan(2).map(({ key }) => key),
    ['k2', 'k0'],
  );
  t.deepEqual(
    [2, 2, 2].map((visits) => expireChains(table, 301_001, visits)),
    [2, 1, 0],
  );
});

const nonces = fc.constantFrom('a', 'b', 'c', 'd');
const anyRecord = fc.oneof(
  fc.tuple(nonces, fc.option(nonces)).map(([nonce, previous]) => buildIntent(nonce, previous)),
  nonces.map(buildAbandoned),
  fc
    .tuple(nonces, fc.constantFrom('ran' as const, 'may-have-run' as const))
    .map(([nonce, verdict]) => buildOutcome(nonce, verdict)),
);

// Guards against a new daemon with a different active intent from one that read every record.
test('a table built after retention has the same active intent as a complete one', (t) => {
  t.notThrows(() => {
    fc.assert(
      fc.property(
        fc.array(anyRecord, { maxLength: 12 }),
        fc.array(anyRecord, { maxLength: 6 }),
        fc.array(anyRecord, { maxLength: 6 }),
        fc.nat({ max: 6 }),
        (before, between, after, extraRecords) => {
          const full = createIntentTable(SETTINGS);
          foldFrom(full, 0, before);
          const info = { firstOffset: 0, now: 0, carryAfterMs: 0, maxRecords: 9 };
          const carried = planCarryForward(full, info);
          const log = [...before, ...between, ...carried, ...after];
          foldFrom(full, 0, log);
          const [chain] = full.chains.values();
          // Retention may drop every record that the chain does not need.
          const firstOffset = Math.max(0, (chain?.oldestNeededOffset ?? log.length) - extraRecords);
          const fresh = createIntentTable(SETTINGS);
          foldFrom(fresh, firstOffset, log);
          const links = [full, fresh].map((table) => findChain(table, 'c', 'k')?.link ?? null);
          return JSON.stringify(links[0]) === JSON.stringify(links[1]);
        },
      ),
      { seed: 11, numRuns: 2_000 },
    );
  });
});
