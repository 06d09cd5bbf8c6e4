import { MAX_RECENT_RECORDS } from './constants.js';
import type {
  ConfigurationState,
  ControlRecord,
  EntityContent,
  EntityEntry,
  EntityKind,
  EntityRecord,
  FoldResult,
  RawRecord,
  SnapshotRecord,
  Winner,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Offset } from '../../core/ids.js';

/** Result of folding one record. */
export interface Fold {
  readonly state: ConfigurationState;
  readonly result: FoldResult;
}

type Entities = ReadonlyMap<string, EntityEntry>;

/**
 * Creates the configuration of a process that has not read any record.
 *
 * @returns an empty configuration
 */
export const createConfiguration = (): ConfigurationState => ({
  nextOffset: 0,
  entities: new Map(),
  recent: [],
  standing: 'exact',
  deferred: [],
  gapEnd: 0,
});

/**
 * Formats the key of an entity in the map of entities.
 *
 * @param kind - kind of the entity's records
 * @param entity - name of the entity
 * @returns the key
 */
export const formatEntityKey = (kind: EntityKind, entity: string): string =>
  `${kind}\u0000${entity}`;

const toEntry = (record: EntityRecord, offset: Offset): EntityEntry => {
  const { entity, author } = record;
  const content = { kind: record.kind, body: record.body } as EntityContent;
  return { ...content, entity, offset, author };
};

const toWinner = (entry: EntityEntry | undefined): Winner | null =>
  entry === undefined ? null : { offset: entry.offset, author: entry.author };

/** A name can be used for another move only after the earlier move has ended. */
const checkMove = (entities: Entities, record: EntityRecord): Winner | null => {
  const known = entities.get(formatEntityKey('move', record.entity));
  if (known === undefined) return null;
  const ended = entities.get(formatEntityKey('move-ended', record.entity));
  return ended !== undefined && ended.offset > known.offset ? null : toWinner(known);
};

/** The first terminal record of a move is final. */
const checkMoveEnded = (entities: Entities, record: EntityRecord): Winner | 'no-move' | null => {
  const move = entities.get(formatEntityKey('move', record.entity));
  if (move === undefined) return 'no-move';
  const ended = entities.get(formatEntityKey('move-ended', record.entity));
  if (ended !== undefined && ended.offset > move.offset) return toWinner(ended);
  // A late terminal record of an earlier move must not end the current move of the same name.
  const isOfThisMove = record.basedOn === move.offset || record.basedOn === (ended?.offset ?? null);
  return isOfThisMove ? null : toWinner(move);
};

/** An expiry is only ever extended, because the clocks of the daemons that append it differ. */
const checkQuarantine = (
  known: EntityEntry | undefined,
  record: EntityRecord & { readonly kind: 'quarantine' },
): Winner | null =>
  known?.kind === 'quarantine' && known.body.expiresAt >= record.body.expiresAt
    ? toWinner(known)
    : null;

/** Only a record for the terminal record in force takes effect; others concern an earlier end. */
const checkNotified = (
  entities: Entities,
  known: EntityEntry | undefined,
  record: EntityRecord & { readonly kind: 'move-notified' },
): Winner | 'no-end' | null => {
  const { endedAt } = record.body;
  const ended = entities.get(formatEntityKey('move-ended', record.entity));
  if (ended?.offset !== endedAt) return 'no-end';
  const isNotified = known?.kind === 'move-notified' && known.body.endedAt === endedAt;
  return isNotified ? toWinner(known) : null;
};

const checkBase = (entities: Entities, record: EntityRecord): 'matches' | 'differs' => {
  const known = entities.get(formatEntityKey(record.kind, record.entity));
  return (known?.offset ?? null) === record.basedOn ? 'matches' : 'differs';
};

/** Reports whether a record takes effect and, if not, which record makes it void. */
const checkRecord = (
  entities: Entities,
  record: EntityRecord,
): { readonly kind: 'effective' } | { readonly kind: 'void'; readonly winner: Winner | null } => {
  const known = entities.get(formatEntityKey(record.kind, record.entity));
  switch (record.kind) {
    case 'targets':
    case 'data-centre':
      return checkBase(entities, record) === 'matches'
        ? { kind: 'effective' }
        : { kind: 'void', winner: toWinner(known) };
    case 'move': {
      const running = checkMove(entities, record);
      if (running !== null) return { kind: 'void', winner: running };
      return checkBase(entities, record) === 'matches'
        ? { kind: 'effective' }
        : { kind: 'void', winner: toWinner(known) };
    }
    case 'move-ended': {
      const winner = checkMoveEnded(entities, record);
      if (winner === 'no-move') return { kind: 'void', winner: null };
      return winner === null ? { kind: 'effective' } : { kind: 'void', winner };
    }
    case 'move-notified': {
      const winner = checkNotified(entities, known, record);
      if (winner === 'no-end') return { kind: 'void', winner: null };
      return winner === null ? { kind: 'effective' } : { kind: 'void', winner };
    }
    // Every daemon that sees the second crash appends a record; a later expiry extends the first.
    case 'quarantine': {
      const winner = checkQuarantine(known, record);
      return winner === null ? { kind: 'effective' } : { kind: 'void', winner };
    }
    default:
      return assertNever(record);
  }
};

const applyRecord = (
  entities: Entities,
  record: EntityRecord,
  offset: Offset,
): { readonly entities: Entities; readonly result: FoldResult } => {
  const check = checkRecord(entities, record);
  if (check.kind === 'void') {
    return { entities, result: { kind: 'void', record, winner: check.winner } };
  }
  const entry = toEntry(record, offset);
  const next = new Map(entities).set(formatEntityKey(record.kind, record.entity), entry);
  return { entities: next, result: { kind: 'in-force', entry } };
};

const toEntities = (entries: readonly EntityEntry[]): Entities =>
  new Map(entries.map((entry) => [formatEntityKey(entry.kind, entry.entity), entry]));

/** A snapshot is used only by a process that missed records that it covers. */
const applySnapshotRecord = (
  state: ConfigurationState,
  record: SnapshotRecord,
): ConfigurationState => {
  if (state.standing === 'exact') return state;
  // A snapshot as of an earlier offset lacks the records from there to the end of the gap.
  if (record.asOf < state.gapEnd) return state;
  const remaining = state.deferred.filter(({ offset }) => offset >= record.asOf);
  const entities = remaining.reduce<Entities>(
    (base, { offset, record: deferredRecord }) =>
      applyRecord(base, deferredRecord, offset).entities,
    toEntities(record.entities),
  );
  return { ...state, entities, standing: 'exact', deferred: [] };
};

const applyControl = (state: ConfigurationState, record: ControlRecord, offset: Offset): Fold => {
  if (record.kind === 'snapshot') {
    const result = { kind: 'snapshot', asOf: record.asOf } as const;
    return { state: applySnapshotRecord(state, record), result };
  }
  if (state.standing === 'needs-snapshot') {
    const deferred = [...state.deferred, { offset, record }];
    return { state: { ...state, deferred }, result: { kind: 'ignored' } };
  }
  const { entities, result } = applyRecord(state.entities, record, offset);
  return { state: { ...state, entities }, result };
};

/**
 * Folds one record in log order. A record whose offset is not the next one changes nothing: it was
 * folded before, or records before it were not read. In the second case the reader of the log calls
 * `openGap` first.
 *
 * @param state - configuration
 * @param raw - record as it was read
 * @param record - parsed record; null for one that this version cannot read
 * @returns the next configuration and the effect of the record
 */
export const foldControlRecord = (
  state: ConfigurationState,
  raw: RawRecord,
  record: ControlRecord | null,
): Fold => {
  if (raw.offset !== state.nextOffset) return { state, result: { kind: 'ignored' } };
  const advanced = {
    ...state,
    nextOffset: raw.offset + 1,
    recent: [...state.recent, raw].slice(-MAX_RECENT_RECORDS),
  };
  if (record === null) return { state: advanced, result: { kind: 'ignored' } };
  return applyControl(advanced, record, raw.offset);
};

/**
 * Skips records that the log dropped before they were read.
 *
 * @param state - configuration
 * @param firstOffset - oldest offset that the log retains
 * @returns the configuration, which needs a snapshot if unread records were dropped
 */
export const openGap = (state: ConfigurationState, firstOffset: Offset): ConfigurationState =>
  firstOffset <= state.nextOffset
    ? state
    : {
        ...state,
        nextOffset: firstOffset,
        recent: [],
        standing: 'needs-snapshot',
        deferred: [],
        gapEnd: firstOffset,
      };

/**
 * Closes a gap when the log was read to its end without a snapshot, so that nothing was in force
 * before the gap.
 *
 * @param state - configuration whose reader has reached the end of the log
 * @returns a configuration whose standing is `exact`
 */
export const closeGap = (state: ConfigurationState): ConfigurationState => {
  if (state.standing === 'exact') return state;
  const entities = state.deferred.reduce<Entities>(
    (base, { offset, record }) => applyRecord(base, record, offset).entities,
    state.entities,
  );
  return { ...state, entities, standing: 'exact', deferred: [] };
};
