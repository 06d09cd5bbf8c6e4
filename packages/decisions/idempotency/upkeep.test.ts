import test from 'ava';
import { planCarryForward } from './carryForward.js';
import { CARRY_FORWARD_CYCLE_MS, CLOCK_MARGIN_MS, EXPIRY_SWEEP_MS } from './constants.js';
import { createIntentTable, expireChains, foldIntentBatch } from './table.js';
import type { IntentRecord } from './types.js';
import { planUpkeep } from './upkeep.js';

const PERIOD_MS = 5_000;
const WINDOW_MS = 300_000;
const CHAINS_PER_ROUND = 2_500;
const SETTINGS = { keyWindowMs: WINDOW_MS, maxUntimedKeys: 1, maxTimedKeys: 1 };

const buildIntents = (first: number, count: number, at: number): readonly IntentRecord[] =>
  Array.from({ length: count }, (_, index) => ({
    kind: 'intent',
    format: 1,
    customer: 'c',
    key: (first + index).toString(),
    issuedAt: at,
    at,
    fingerprint: 'f',
    nonce: (first + index).toString(),
    previous: null,
    endpoint: 'e',
    incarnation: 'i',
    entry: 'entry-1',
  }));

/** Adds keys at a constant rate, expires chains each round, and returns the maximum table size. */
const runRounds = (rounds: number, plan: (chains: number) => number): number => {
  const table = createIntentTable(SETTINGS);
  let largest = 0;
  for (let round = 0; round < rounds; round += 1) {
    const now = round * PERIOD_MS;
    const firstOffset = round * CHAINS_PER_ROUND;
    const records = buildIntents(firstOffset, CHAINS_PER_ROUND, now).map((record, index) => ({
      offset: firstOffset + index,
      record,
    }));
    const nextOffset = firstOffset + CHAINS_PER_ROUND;
    foldIntentBatch(table, { firstOffset, nextOffset, records, end: 'reached' }, now);
    expireChains(table, now, plan(table.chains.size));
    largest = Math.max(largest, table.chains.size);
  }
  return largest;
};

// Guards against a table that grows without bound because keys arrive faster than a fixed number of
// visits per round finds the expired ones.
test('a table is bounded by the keys of the window, the clock margin and the expiry sweep', (t) => {
  const rounds = Math.ceil((2 * (WINDOW_MS + CLOCK_MARGIN_MS + EXPIRY_SWEEP_MS)) / PERIOD_MS);
  const retainedMs = WINDOW_MS + CLOCK_MARGIN_MS + 2 * EXPIRY_SWEEP_MS;
  const bound = Math.ceil(retainedMs / PERIOD_MS) * CHAINS_PER_ROUND;
  const largest = runRounds(rounds, (chains) => planUpkeep(chains, PERIOD_MS).expiryVisits);
  const fixed = runRounds(rounds, () => 2_000);
  t.log(
    `largest table ${largest.toString()}, bound ${bound.toString()}, fixed ${fixed.toString()}`,
  );
  t.true(largest <= bound);
  // With the fixed number of visits of an earlier version, the table exceeds the bound.
  t.true(fixed > bound);
});

// Guards against chains that retention drops before they are carried forward.
test('every due chain is carried forward within one cycle', (t) => {
  const chains = 100_000;
  const { maxCarried: carried } = planUpkeep(chains, PERIOD_MS);
  t.true(carried * Math.floor(CARRY_FORWARD_CYCLE_MS / PERIOD_MS) >= chains);
  const table = createIntentTable(SETTINGS);
  const records = buildIntents(0, 1_000, 0).map((record, offset) => ({ offset, record }));
  foldIntentBatch(table, { firstOffset: 0, nextOffset: 1_000, records, end: 'reached' }, 0);
  const info = { firstOffset: 0, now: 100, carryAfterMs: 50, maxRecords: carried };
  t.is(planCarryForward(table, info).length, carried);
});
