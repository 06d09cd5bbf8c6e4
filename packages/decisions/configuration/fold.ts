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
 * Creates the configuration of a process that has read nothing.
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
 * Formats the key of an entity.
 *
 * @param kind - kind of its records
 * @param entity - name
 * @returns key in the state's map
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

/** A move may be started again under its name only after the earlier one has ended. */
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
  // A late end of an earlier move must not end the one that was started again under its name.
  const isOfThisMove = record.basedOn === move.offset || record.basedOn === (ended?.offset ?? null);
  return isOfThisMove ? null : toWinner(move);
};

/** An end of quarantine only moves on; the clocks of the daemons that append one differ. */
const checkQuarantine = (
  known: EntityEntry | undefined,
  record: EntityRecord & { readonly kind: 'quarantine' },
): Winner | null =>
  known?.kind === 'quarantine' && known.body.expiresAt >= record.body.expiresAt
    ? toWinner(known)
    : null;

/** A record of another end than the one in force says nothing about the move as it is now. */
const checkNotified = (
  entities: Entities,
  known: EntityEntry | undefined,
  record: EntityRecord & { readonly kind: 'move-notified' },
): Winner | 'no-end' | null => {
  const { endedAt } = record.body;
  const ended = entities.get(formatEntityKey('move-ended', record.entity));
  if (ended?.offset !== endedAt) return 'no-end';
  const isKnown = known?.kind === 'move-notified' && known.body.endedAt === endedAt;
  return isKnown ? toWinner(known) : null;
};

const checkBase = (entities: Entities, record: EntityRecord): 'matches' | 'differs' => {
  const known = entities.get(formatEntityKey(record.kind, record.entity));
  return (known?.offset ?? null) === record.basedOn ? 'matches' : 'differs';
};

/** Tells whether a record takes effect, and who stands against it otherwise. */
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
    // Every daemon that sees the second crash appends one; a later expiry prolongs the first.
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

/** A snapshot matters only to a process that missed the records behind it. */
const applySnapshotRecord = (
  state: ConfigurationState,
  record: SnapshotRecord,
): ConfigurationState => {
  if (state.standing === 'exact') return state;
  // A snapshot that was appended late misses the records between its offset and the gap's end.
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
    return { state: { ...state, deferred }, result: { kind: 'known' } };
  }
  const { entities, result } = applyRecord(state.entities, record, offset);
  return { state: { ...state, entities }, result };
};

/**
 * Folds one record in log order. An offset that was folded before changes nothing, and neither does
 * one behind records that were not read: the reader of the log opens the gap first.
 *
 * @param state - configuration
 * @param raw - record as it was read
 * @param record - the checked record; null for one that this version cannot read
 * @returns the next configuration and what the record did
 */
export const foldControlRecord = (
  state: ConfigurationState,
  raw: RawRecord,
  record: ControlRecord | null,
): Fold => {
  if (raw.offset !== state.nextOffset) return { state, result: { kind: 'known' } };
  const seen = {
    ...state,
    nextOffset: raw.offset + 1,
    recent: [...state.recent, raw].slice(-MAX_RECENT_RECORDS),
  };
  if (record === null) return { state: seen, result: { kind: 'known' } };
  return applyControl(seen, record, raw.offset);
};

/**
 * Notes that the log holds no record below an offset any more.
 *
 * @param state - configuration
 * @param firstOffset - oldest offset that the log holds
 * @returns the configuration, waiting for a snapshot if unread records were dropped
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
 * Settles a gap for which the whole log holds no snapshot: nothing was ever in force before it.
 *
 * @param state - configuration whose reader has reached the end of the log
 * @returns an exact configuration
 */
export const closeGap = (state: ConfigurationState): ConfigurationState => {
  if (state.standing === 'exact') return state;
  const entities = state.deferred.reduce<Entities>(
    (base, { offset, record }) => applyRecord(base, record, offset).entities,
    state.entities,
  );
  return { ...state, entities, standing: 'exact', deferred: [] };
};
