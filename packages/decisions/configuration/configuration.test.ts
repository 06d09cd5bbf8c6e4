import test from 'ava';
import { DELTA_MAX_BYTES, MAX_RECENT_RECORDS, SNAPSHOT_DUE_RECORDS } from './constants.js';
import { applySnapshot, decideDelta, planSnapshot, toSnapshot } from './exchange.js';
import { closeGap, createConfiguration, foldControlRecord, openGap } from './fold.js';
import { checkProposal, toEntityRecord } from './proposals.js';
import { parseControlRecord, parseProposal, parseSnapshot } from './records.js';
import type { Proposal } from './records.js';
import type { ConfigurationState, ControlRecord, FoldResult, SnapshotRecord } from './types.js';
import { buildView } from './view.js';

const buildOutProposal = (basedOn: number | null, entity = 'east'): Proposal => ({
  kind: 'data-centre',
  entity,
  basedOn,
  body: { state: 'out' },
});

const buildInProposal = (basedOn: number | null): Proposal => ({
  kind: 'data-centre',
  entity: 'east',
  basedOn,
  body: { state: 'in' },
});

const buildQuarantineProposal = (expiresAt: number): Proposal => ({
  kind: 'quarantine',
  entity: 'f',
  basedOn: null,
  body: { expiresAt },
});

const buildMoveProposal = (basedOn: number | null): Proposal => ({
  kind: 'move',
  entity: 'm',
  basedOn,
  body: { name: 'm', model: 'draft', from: 'v1', to: 'v2', startedAt: 0, deadline: 9 },
});

const buildMoveEndProposal = (
  basedOn: number | null,
  outcome: 'done' | 'taken-back',
): Proposal => ({
  kind: 'move-ended',
  entity: 'm',
  basedOn,
  body: { outcome, reason: 'test' },
});

const toRecord = (proposal: Proposal, author = 'ann'): ControlRecord =>
  toEntityRecord(proposal, author, 'n');

const foldAll = (
  records: readonly (ControlRecord | null)[],
  from: ConfigurationState = createConfiguration(),
): { readonly state: ConfigurationState; readonly results: readonly FoldResult[] } => {
  let state = from;
  const results = records.map((record) => {
    const raw = { offset: state.nextOffset, at: 0, body: record };
    const fold = foldControlRecord(state, raw, record);
    state = fold.state;
    return fold.result;
  });
  return { state, results };
};

const buildSnapshotRecord = (state: ConfigurationState): SnapshotRecord => ({
  kind: 'snapshot',
  format: 1,
  author: 'entry',
  nonce: 'n',
  asOf: state.nextOffset,
  entities: toSnapshot(state).entities,
});

// Guards against reporting to two operators that each one's conflicting change is in force.
test('of two records based on one offset the first is in force and the second is void', (t) => {
  const { results } = foldAll([
    toRecord(buildOutProposal(null), 'ann'),
    toRecord(buildOutProposal(null), 'bob'),
  ]);
  t.is(results[0]?.kind, 'in-force');
  t.like(results[1], { kind: 'void', winner: { offset: 0, author: 'ann' } });
});

// Guards against putting a change in force that is based on a record that never was in force.
test('a record based on an unknown offset is void and has no winner', (t) => {
  const { results } = foldAll([toRecord(buildOutProposal(7))]);
  t.like(results[0], { kind: 'void', winner: null });
});

// Guards against two concurrent moves of one name, and against an end that is replaced later.
test('one move of a name runs at a time, and its first terminal record is final', (t) => {
  const { state, results } = foldAll([
    toRecord(buildMoveEndProposal(null, 'done')),
    toRecord(buildMoveProposal(null)),
    toRecord(buildMoveProposal(1)),
    toRecord(buildMoveEndProposal(null, 'taken-back'), 'ann'),
    toRecord(buildMoveEndProposal(null, 'done'), 'bob'),
    toRecord(buildMoveProposal(1)),
    toRecord(buildMoveEndProposal(null, 'done'), 'late'),
    toRecord(buildMoveEndProposal(5, 'done'), 'cho'),
  ]);
  const kinds = results.map(({ kind }) => kind);
  t.deepEqual(kinds.slice(0, 4), ['void', 'in-force', 'void', 'in-force']);
  t.like(results[4], { kind: 'void', winner: { offset: 3, author: 'ann' } });
  // A late terminal record of the first move does not end the second.
  t.deepEqual(kinds.slice(5), ['in-force', 'void', 'in-force']);
  t.like(buildView(state).moves[0], { offset: 5, ended: { outcome: 'done', offset: 7 } });
});

// Guards against a daemon with a slow clock that shortens a quarantine.
test('the expiry of a quarantine is only ever extended', (t) => {
  const ends = [50, 40, 60].map((end) => toRecord(buildQuarantineProposal(end)));
  const { state, results } = foldAll(ends);
  t.deepEqual(
    results.map(({ kind }) => kind),
    ['in-force', 'void', 'in-force'],
  );
  t.is(buildView(state).quarantined.get('f'), 60);
});

// Guards against repeated and early records that change the state.
test('a record whose offset is not the next one changes nothing', (t) => {
  const { state } = foldAll([toRecord(buildOutProposal(null))]);
  for (const offset of [0, 2]) {
    const raw = { offset, at: 0, body: null };
    t.is(foldControlRecord(state, raw, toRecord(buildOutProposal(0))).state, state);
  }
});

// Guards against an incomplete state after retention dropped unread records.
test('after a gap only a snapshot that covers it makes the state exact', (t) => {
  const early = foldAll([toRecord(buildOutProposal(null))]).state;
  const late = foldAll([toRecord(buildOutProposal(null, 'west'))], early).state;
  const gap = openGap(createConfiguration(), 2);
  t.is(openGap(late, 2), late);
  const short = foldAll([buildSnapshotRecord(early)], gap).state;
  t.is(short.standing, 'needs-snapshot');
  const settled = foldAll([toRecord(buildInProposal(0)), buildSnapshotRecord(late)], short).state;
  t.is(settled.standing, 'exact');
  t.deepEqual(buildView(settled).dataCentresOut, ['west']);
  t.is(closeGap(settled), settled);
  t.deepEqual(
    buildView(closeGap(foldAll([toRecord(buildOutProposal(null))], gap).state)).dataCentresOut,
    ['east'],
  );
});

// Guards against an older snapshot of a peer that replaces a newer state.
test('a snapshot of a peer is applied only when it is newer', (t) => {
  const early = foldAll([toRecord(buildOutProposal(null))]).state;
  const late = foldAll([toRecord(buildInProposal(0))], early).state;
  t.is(applySnapshot(late, toSnapshot(early)), late);
  t.is(applySnapshot(early, toSnapshot(late)).nextOffset, 2);
  const sameOffset = openGap(createConfiguration(), 2);
  t.is(applySnapshot(sameOffset, toSnapshot(late)).standing, 'exact');
  const json: unknown = JSON.parse(JSON.stringify(toSnapshot(late)));
  t.deepEqual(parseSnapshot(json).unwrap(), toSnapshot(late));
  t.true(parseSnapshot({ nextOffset: -1, entities: [] }).isErr());
});

// Guards against deltas that miss records, exceed the budget or carry an inexact state.
test('a delta holds the missing records within the budget, or a snapshot', (t) => {
  const records = Array.from({ length: MAX_RECENT_RECORDS + 10 }, (_, index) =>
    toRecord(buildQuarantineProposal(index + 1)),
  );
  const { state } = foldAll(records);
  t.deepEqual(decideDelta(state, state.nextOffset).records, []);
  t.deepEqual(
    decideDelta(state, state.nextOffset - 1).records.map(({ offset }) => offset),
    [state.nextOffset - 1],
  );
  t.is(decideDelta(state, 9).snapshot?.nextOffset, state.nextOffset);
  const bounded = decideDelta(state, 10);
  t.is(bounded.records[0]?.offset, 10);
  t.true(bounded.records.length < MAX_RECENT_RECORDS);
  t.true(JSON.stringify(bounded.records.map(({ body }) => body)).length <= DELTA_MAX_BYTES * 1.05);
  t.is(decideDelta(openGap(state, 1e6), 0).snapshot, null);
});

const RETENTION = { firstOffset: 0, snapshotAt: null, snapshotAgeMs: 0, maxAgeMs: 100, now: 55 };

// Guards against snapshots that are missing, unnecessary or include expired entities.
test('a snapshot is planned by age, by count and by what the log retains', (t) => {
  const { state } = foldAll([
    toRecord(buildOutProposal(null)),
    toRecord(buildQuarantineProposal(50)),
  ]);
  const plan = (info: object) => planSnapshot(state, { ...RETENTION, ...info }, 'entry', 'n');
  t.is(plan({}), null);
  t.is(plan({ snapshotAgeMs: 100 })?.asOf, 2);
  t.deepEqual(
    plan({ snapshotAgeMs: 100 })?.entities.map(({ kind }) => kind),
    ['data-centre'],
  );
  t.not(plan({ firstOffset: 1 }), null);
  t.is(plan({ firstOffset: 1, snapshotAt: 2 }), null);
  const inexact = openGap(state, 9);
  t.is(planSnapshot(inexact, { ...RETENTION, snapshotAgeMs: 100 }, 'entry', 'n'), null);
  const many = { ...state, nextOffset: SNAPSHOT_DUE_RECORDS };
  t.not(planSnapshot(many, RETENTION, 'entry', 'n'), null);
  t.is(planSnapshot(many, { ...RETENTION, snapshotAt: 1 }, 'entry', 'n'), null);
});

// Guards against a dry run whose result differs from that of the fold.
test('a proposal is checked against the configuration in force', (t) => {
  const { state } = foldAll([toRecord(buildOutProposal(null), 'ann')]);
  t.like(checkProposal(state, buildOutProposal(0)), {
    kind: 'acceptable',
    change: { before: { state: 'out' } },
  });
  t.like(checkProposal(state, buildOutProposal(null)), {
    kind: 'lost',
    winner: { offset: 0, author: 'ann' },
  });
  t.is(checkProposal(state, buildMoveEndProposal(null, 'done')).kind, 'refused');
  t.is(checkProposal(state, { ...buildMoveProposal(null), entity: 'other' }).kind, 'refused');
});

// Guards against accepting records with missing, unknown or inconsistent fields.
test('records and proposals are checked field by field', (t) => {
  t.true(parseControlRecord(toRecord(buildOutProposal(null))).isOk());
  t.is(
    parseControlRecord({ ...toRecord(buildOutProposal(null)), format: 2 }).unwrapErr().code,
    'unsupported-format',
  );
  t.true(parseProposal(buildMoveProposal(null)).isOk());
  t.true(parseProposal(buildQuarantineProposal(1)).isErr());
  const move = buildMoveProposal(null);
  t.true(parseProposal({ ...move, body: { ...move.body, to: 'v1' } }).isErr());
  t.true(parseProposal({ ...move, body: { ...move.body, deadline: 0 } }).isErr());
  t.true(parseProposal({ ...move, body: { ...move.body, extra: 1 } }).isErr());
  t.true(
    parseProposal({ kind: 'targets', entity: 'all', basedOn: null, body: { classes: [] } }).isErr(),
  );
});
