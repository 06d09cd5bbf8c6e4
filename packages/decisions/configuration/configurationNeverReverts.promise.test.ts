import test from 'ava';
import fc from 'fast-check';
import { buildConfigurationProperty } from './configurationProperty.fixture.js';
import { ALL_MECHANISMS } from './configurationSimulation.fixture.js';
import type { Mechanisms } from './configurationSimulation.fixture.js';
import { SNAPSHOT_DUE_RECORDS } from './constants.js';
import { createConfiguration, foldControlRecord, formatEntityKey } from './fold.js';
import { parseControlRecord } from './records.js';
import { buildRetentionProperty, findUncovered } from './retentionSimulation.fixture.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261_204);
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1_000);
/** Variants always run with the same seed, with which the oracle is known to find them. */
const VARIANT_SEED = 20_261_204;
const VARIANT_RUNS = 3_000;

// Guards against a configuration that reverts, diverges between daemons, puts two conflicting
// records in force, or reports the wrong winner (P10).
test('P10: an accepted configuration never reverts and is the same everywhere', (t) => {
  fc.assert(buildConfigurationProperty(ALL_MECHANISMS), { seed: SEED, numRuns: RUNS });
  t.pass();
});

const foldVariants: Readonly<Record<string, Mechanisms['fold']>> = {
  'the check for earlier offsets': (state, raw, record) =>
    foldControlRecord(
      { ...state, nextOffset: Math.min(state.nextOffset, raw.offset) },
      raw,
      record,
    ),
  'the check for later offsets': (state, raw, record) =>
    foldControlRecord(
      { ...state, nextOffset: Math.max(state.nextOffset, raw.offset) },
      raw,
      record,
    ),
  'the check of basedOn': (state, raw, record) => {
    if (record === null || record.kind === 'snapshot') return foldControlRecord(state, raw, record);
    const known = state.entities.get(formatEntityKey(record.kind, record.entity));
    return foldControlRecord(state, raw, { ...record, basedOn: known?.offset ?? null });
  },
  'the finality of the first terminal record': (state, raw, record) => {
    if (record?.kind !== 'move-ended') return foldControlRecord(state, raw, record);
    const entities = new Map(state.entities);
    entities.delete(formatEntityKey('move-ended', record.entity));
    return foldControlRecord({ ...state, entities }, raw, { ...record, basedOn: null });
  },
  'the check that a snapshot covers the gap': (state, raw, record) =>
    foldControlRecord({ ...state, gapEnd: 0 }, raw, record),
};

const VARIANTS: Readonly<Record<string, Mechanisms>> = {
  ...Object.fromEntries(
    Object.entries(foldVariants).map(([name, fold]) => [name, { ...ALL_MECHANISMS, fold }]),
  ),
  "the offset check of a peer's snapshot": {
    ...ALL_MECHANISMS,
    applySnapshot: (state, snapshot) =>
      ALL_MECHANISMS.applySnapshot({ ...state, nextOffset: -1 }, snapshot),
  },
};

// Guards against a simulation that does not exercise a mechanism: each must be needed to pass.
for (const [name, mechanisms] of Object.entries(VARIANTS)) {
  test(`P10: the simulation finds a violation without ${name}`, (t) => {
    const result = fc.check(buildConfigurationProperty(mechanisms), {
      seed: VARIANT_SEED,
      numRuns: VARIANT_RUNS,
      endOnFailure: true,
    });
    t.true(result.failed);
    t.regex(String(result.errorInstance), /decreased|differ/);
  });
}

// Guards against records that retention by time drops before a snapshot covers them. The snapshot
// is due at a third of the retention and is in the log within another third.
test('P10: a snapshot is in the log before retention by time drops the records it covers', (t) => {
  fc.assert(buildRetentionProperty(), { seed: SEED, numRuns: 100 });
  t.pass();
});

// Guards against a first snapshot that waits until the log has dropped its first record.
test('P10: a snapshot is in the log before retention by count drops the records it covers', (t) => {
  const property = fc.property(fc.integer({ min: 1, max: 100 }), (appendDelayMs) => {
    const retention = { retentionMs: Infinity, retentionRecords: 2 * SNAPSHOT_DUE_RECORDS };
    const gapsMs = Array.from({ length: 5 * SNAPSHOT_DUE_RECORDS }, () => 1);
    return findUncovered({ ...retention, maxAgeMs: Infinity, appendDelayMs, gapsMs }) === null;
  });
  fc.assert(property, { seed: SEED, numRuns: 5 });
  t.pass();
});

// Guards against a retention oracle that cannot detect a loss.
test('P10: the oracle finds a loss when snapshots are planned too late', (t) => {
  const gapsMs = Array.from({ length: 200 }, () => 10);
  const retention = { retentionMs: 300, retentionRecords: Infinity };
  t.not(findUncovered({ ...retention, maxAgeMs: 290, appendDelayMs: 80, gapsMs }), null);
});

// Guards against a record of a later format that stops the reader of the log.
test('a record of a later format is skipped', (t) => {
  const body = { kind: 'targets', format: 2 };
  t.is(parseControlRecord(body).unwrapOr(null), null);
  const { state } = foldControlRecord(createConfiguration(), { offset: 0, at: 0, body }, null);
  t.is(state.nextOffset, 1);
  t.is(state.standing, 'exact');
});
