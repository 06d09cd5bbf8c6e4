import test from 'ava';
import fc from 'fast-check';
import { ALL_MECHANISMS, runConfiguration } from './configurationSimulation.fixture.js';
import type { Mechanisms, SimulationAction } from './configurationSimulation.fixture.js';
import { SNAPSHOT_DUE_RECORDS } from './constants.js';
import { planSnapshot } from './exchange.js';
import { createConfiguration, foldControlRecord, formatEntityKey } from './fold.js';
import { parseControlRecord } from './records.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261_204);
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1_000);
/** Variants are always tried with the same seed, so that the oracle is known to find them. */
const VARIANT_SEED = 20_261_204;
const VARIANT_RUNS = 3_000;

const anyAction: fc.Arbitrary<SimulationAction> = fc.record({
  kind: fc.constantFrom(
    ...(['propose', 'propose', 'append', 'append', 'append', 'append', 'read', 'read'] as const),
    ...([
      'deliver',
      'deliver',
      'deliver',
      'heartbeat',
      'heartbeat',
      'end-move',
      'notify-move',
    ] as const),
    ...(['plan-snapshot', 'retain', 'restart', 'outage', 'ask-peer'] as const),
    ...(['quarantine', 'later-format'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

const buildProperty = (mechanisms: Mechanisms) =>
  fc.property(fc.array(anyAction, { maxLength: 150, size: 'max' }), (actions) => {
    runConfiguration(actions, mechanisms);
  });

// Guards against a configuration that goes back, splits between daemons, lets two racing records
// both take effect, or tells the loser a wrong winner (P10).
test('P10: an accepted configuration never reverts and is the same everywhere', (t) => {
  fc.assert(buildProperty(ALL_MECHANISMS), { seed: SEED, numRuns: RUNS });
  t.pass();
});

const foldVariants: Readonly<Record<string, Mechanisms['fold']>> = {
  'the check of earlier offsets alone': (state, raw, record) =>
    foldControlRecord(
      { ...state, nextOffset: Math.min(state.nextOffset, raw.offset) },
      raw,
      record,
    ),
  'the check of later offsets alone': (state, raw, record) =>
    foldControlRecord(
      { ...state, nextOffset: Math.max(state.nextOffset, raw.offset) },
      raw,
      record,
    ),
  basedOn: (state, raw, record) => {
    if (record === null || record.kind === 'snapshot') return foldControlRecord(state, raw, record);
    const known = state.entities.get(formatEntityKey(record.kind, record.entity));
    return foldControlRecord(state, raw, { ...record, basedOn: known?.offset ?? null });
  },
  'the first terminal record': (state, raw, record) => {
    if (record?.kind !== 'move-ended') return foldControlRecord(state, raw, record);
    const entities = new Map(state.entities);
    entities.delete(formatEntityKey('move-ended', record.entity));
    return foldControlRecord({ ...state, entities }, raw, { ...record, basedOn: null });
  },
  'the reach of a snapshot': (state, raw, record) =>
    foldControlRecord({ ...state, unbasedFrom: 0 }, raw, record),
};

const VARIANTS: Readonly<Record<string, Mechanisms>> = {
  ...Object.fromEntries(
    Object.entries(foldVariants).map(([name, fold]) => [name, { ...ALL_MECHANISMS, fold }]),
  ),
  "the offset of a peer's snapshot": {
    ...ALL_MECHANISMS,
    take: (state, snapshot) => ALL_MECHANISMS.take({ ...state, nextOffset: -1 }, snapshot),
  },
};

// Guards against a simulation too tame to need a mechanism.
for (const [name, mechanisms] of Object.entries(VARIANTS)) {
  test(`P10: the simulation finds a violation without ${name}`, (t) => {
    const result = fc.check(buildProperty(mechanisms), {
      seed: VARIANT_SEED,
      numRuns: VARIANT_RUNS,
      endOnFailure: true,
    });
    t.true(result.failed);
    t.regex(String(result.errorInstance), /went back|differ/);
  });
}

interface RetentionRun {
  readonly retentionMs: number;
  readonly retentionRecords: number;
  readonly maxAgeMs: number;
  /** Time between the plan of a snapshot and its place in the log. */
  readonly appendDelayMs: number;
  readonly gapsMs: readonly number[];
}

/** Tells the first offset whose loss no snapshot covers, or null. */
const findUncovered = (run: RetentionRun): number | null => {
  let state = createConfiguration();
  const log: { readonly at: number; readonly asOf: number | null }[] = [];
  const waiting: { readonly at: number; readonly asOf: number }[] = [];
  let firstOffset = 0;
  let now = 0;
  const append = (at: number, asOf: number | null): void => {
    const raw = { offset: log.length, at, body: null };
    log.push({ at, asOf });
    const body = { state: 'in' } as const;
    const entity = {
      kind: 'data-centre',
      format: 1,
      author: 'a',
      nonce: 'n',
      entity: 'e',
    } as const;
    const basedOn = [...state.entities.values()][0]?.offset ?? null;
    const record = asOf === null ? { ...entity, body, basedOn } : null;
    state = foldControlRecord(state, raw, record).state;
  };
  const settleUntil = (until: number): void => {
    while (waiting[0] !== undefined && waiting[0].at <= until) {
      const next = waiting.shift() as { at: number; asOf: number };
      append(next.at, next.asOf);
    }
  };
  for (const gap of run.gapsMs) {
    now += gap;
    settleUntil(now);
    append(now, null);
    while ((log[firstOffset]?.at ?? now) < now - run.retentionMs) firstOffset += 1;
    firstOffset = Math.max(firstOffset, log.length - run.retentionRecords);
    const newest = Math.max(-1, ...log.slice(firstOffset).map(({ asOf }) => asOf ?? -1));
    if (firstOffset > 0 && newest < firstOffset) return firstOffset;
    if (waiting.length > 0) continue;
    const index = log.findLastIndex(({ asOf }) => asOf === newest);
    const since = newest < 0 ? (log[firstOffset]?.at ?? now) : (log[index]?.at ?? now);
    const info = {
      firstOffset,
      snapshotAt: newest < 0 ? null : newest,
      snapshotAgeMs: now - since,
      maxAgeMs: run.maxAgeMs,
      now,
    };
    const plan = planSnapshot(state, info, 'a', 'n');
    if (plan !== null) waiting.push({ at: now + run.appendDelayMs, asOf: plan.asOf });
  }
  return null;
};

const buildGaps = (maxGap: number, length: number) =>
  fc.array(fc.integer({ min: 1, max: maxGap }), { minLength: length, maxLength: length });

// Guards against records that retention drops before a snapshot covers them. Time: the snapshot is
// due at a third of the retention and is in the log within another third.
test('P10: a snapshot is in the log before retention by time drops what it covers', (t) => {
  const property = fc.property(buildGaps(20, 200), (gapsMs) => {
    const retention = { retentionMs: 300, retentionRecords: Infinity };
    return findUncovered({ ...retention, maxAgeMs: 100, appendDelayMs: 80, gapsMs }) === null;
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
  t.pass();
});

// Guards against a first snapshot that waits until the log has dropped its first record.
test('P10: a snapshot is in the log before retention by count drops what it covers', (t) => {
  const property = fc.property(fc.integer({ min: 1, max: 100 }), (appendDelayMs) => {
    const retention = { retentionMs: Infinity, retentionRecords: 2 * SNAPSHOT_DUE_RECORDS };
    const gapsMs = Array.from({ length: 5 * SNAPSHOT_DUE_RECORDS }, () => 1);
    return findUncovered({ ...retention, maxAgeMs: Infinity, appendDelayMs, gapsMs }) === null;
  });
  fc.assert(property, { seed: SEED, numRuns: 5 });
  t.pass();
});

// Guards against a check of retention that cannot fail.
test('P10: the check finds a loss when snapshots are planned too late', (t) => {
  const gapsMs = Array.from({ length: 200 }, () => 10);
  const retention = { retentionMs: 300, retentionRecords: Infinity };
  t.not(findUncovered({ ...retention, maxAgeMs: 290, appendDelayMs: 80, gapsMs }), null);
});

// Guards against a record of a later format that stops the reader.
test('a record of a later format is passed over', (t) => {
  const body = { kind: 'targets', format: 2 };
  t.is(parseControlRecord(body).unwrapOr(null), null);
  const { state } = foldControlRecord(createConfiguration(), { offset: 0, at: 0, body }, null);
  t.is(state.nextOffset, 1);
  t.is(state.standing, 'exact');
});
