import test from 'ava';
import { chooseMoveVersion, createMovesLogic } from './moves.js';
import type { MovesState } from './moves.js';
import { createConfiguration, foldControlRecord } from '../../decisions/configuration/fold.js';
import type { EntityRecord } from '../../decisions/configuration/types.js';
import { buildView } from '../../decisions/configuration/view.js';
import type { EntryEffect, MovesEvent } from '../events.js';
import type { ReceivedHeartbeat } from '../types.js';

const NOW = 1_800_000_000_000;
const HOUR_MS = 3_600_000;

const toRecord = (
  kind: 'move' | 'move-ended',
  basedOn: number | null,
  body: unknown,
): EntityRecord =>
  ({ kind, format: 1, entity: 'to-v2', basedOn, body, author: 'a', nonce: 'n' }) as EntityRecord;

const MOVE = {
  name: 'to-v2',
  model: 'm',
  from: 'v1',
  to: 'v2',
  startedAt: NOW,
  deadline: NOW + HOUR_MS,
};

/** Builds a configuration whose move was taken back once and started again at offset 2. */
const foldRestarted = () =>
  [
    toRecord('move', null, MOVE),
    toRecord('move-ended', 0, { outcome: 'taken-back', reason: 'faults' }),
    toRecord('move', 0, MOVE),
  ].reduce(
    (state, record, offset) =>
      foldControlRecord(state, { offset, at: NOW, body: null }, record).state,
    createConfiguration(),
  );

const buildHeartbeat = (version: string, successes: number, failures: number): ReceivedHeartbeat =>
  ({
    endpoint: `endpoint-${version}`,
    incarnation: 'i',
    dataCentre: 'a',
    model: 'm',
    version,
    evidence: [
      {
        route: 'chat',
        className: 'memos',
        successes,
        failures,
        slow: 0,
        firstTokenMsSum: 0,
        tokenGapMsSum: 0,
        tokenGaps: 0,
      },
    ],
  }) as unknown as ReceivedHeartbeat;

const findEndRecord = (effects: readonly EntryEffect[]): EntityRecord | undefined => {
  for (const effect of effects) {
    if (effect.kind !== 'post' || effect.event.to !== 'appends') continue;
    if (effect.event.kind !== 'append-requested') continue;
    return effect.event.record as unknown as EntityRecord;
  }
  return undefined;
};

const watchFaults = () => {
  const configuration = foldRestarted();
  const views = [...buildView(configuration).moves.values()];
  const logic = createMovesLogic({
    now: () => NOW + 60_000,
    createId: () => 'nonce',
    process: 'entry-1',
    webhook: 'none',
    hash: () => 0,
    listMoves: () => views,
  });
  let state: MovesState = logic.init().state;
  const effects: EntryEffect[] = [];
  const apply = (event: MovesEvent): void => {
    const step = logic.decide(state, event);
    state = step.state;
    effects.push(...step.effects);
  };
  apply({ to: 'moves', kind: 'configuration-updated' });
  const chosen = chooseMoveVersion(state, 'm', 'request-1', () => 0);
  for (let round = 0; round <= 20; round += 1) {
    const old = buildHeartbeat('v1', round * 100, 0);
    const bad = buildHeartbeat('v2', 0, round * 20);
    apply({ to: 'moves', kind: 'evidence-received', heartbeat: old });
    apply({ to: 'moves', kind: 'evidence-received', heartbeat: bad });
    apply({ to: 'moves', kind: 'tick' });
  }
  return { configuration, chosen, end: findEndRecord(effects) };
};

// Guards against a restarted move that no daemon can end, because its terminal record is based on
// the offset of an earlier start.
test('a daemon ends a move that was started again after its first end', (t) => {
  const { configuration, end } = watchFaults();
  t.like(end, { kind: 'move-ended', body: { outcome: 'taken-back' } });
  if (end === undefined) return;
  const folded = foldControlRecord(configuration, { offset: 3, at: NOW, body: null }, end);
  t.is(folded.result.kind, 'in-force');
});

// Guards against requests that wait for a new version without endpoints, and against a new version
// that gets more than its share when the old one has no endpoint.
test('only the new version has a fallback', (t) => {
  t.deepEqual(watchFaults().chosen, { version: 'v2', fallback: 'v1' });
  const logic = createMovesLogic({
    now: () => NOW,
    createId: () => 'nonce',
    process: 'entry-1',
    webhook: 'none',
    hash: () => 0,
    listMoves: () => [...buildView(foldRestarted()).moves.values()],
  });
  const { state } = logic.decide(logic.init().state, {
    to: 'moves',
    kind: 'configuration-updated',
  });
  const largest = 2 ** 32 - 1;
  t.deepEqual(
    chooseMoveVersion(state, 'm', 'request-1', () => largest),
    { version: 'v1', fallback: null },
  );
});
