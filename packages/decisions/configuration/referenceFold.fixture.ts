import type { EntityEntry, RawRecord, Winner } from './types.js';

/** Effect of one record in the reference fold. */
export type ReferenceRow =
  | { readonly kind: 'in-force' }
  | { readonly kind: 'void'; readonly winner: Winner | null }
  | { readonly kind: 'other' };

interface ReferenceEntry {
  readonly kind: string;
  readonly entity: string;
  readonly offset: number;
  readonly author: string;
  readonly body: { readonly expiresAt?: number; readonly endedAt?: number };
}

interface ReferenceRecord {
  readonly kind: string;
  readonly format: number;
  readonly entity: string;
  readonly author: string;
  readonly basedOn: number | null;
  readonly body: { readonly expiresAt?: number; readonly endedAt?: number };
}

type ReferenceTable = Map<string, ReferenceEntry>;

const checkReference = (
  table: ReferenceTable,
  record: ReferenceRecord,
): Winner | 'unknown' | null => {
  const known = table.get(`${record.kind} ${record.entity}`);
  const move = table.get(`move ${record.entity}`);
  const ended = table.get(`move-ended ${record.entity}`);
  const isEnded = (ended?.offset ?? -1) > (move?.offset ?? -1);
  if (record.kind === 'quarantine') {
    const isShorter = (known?.body.expiresAt ?? -1) >= (record.body.expiresAt ?? 0);
    return isShorter ? (known ?? null) : null;
  }
  if (record.kind === 'move-ended') {
    if (move === undefined) return 'unknown';
    if (isEnded) return ended ?? null;
    return record.basedOn === (ended?.offset ?? null) ? null : move;
  }
  if (record.kind === 'move-notified') {
    if (ended === undefined || ended.offset !== record.body.endedAt) return 'unknown';
    return known?.body.endedAt === record.body.endedAt ? (known ?? null) : null;
  }
  if (record.kind === 'move' && known !== undefined && !isEnded) return known;
  if (record.basedOn === (known?.offset ?? null)) return null;
  return known ?? 'unknown';
};

/**
 * Folds a whole history in the simplest way, from offset 0 and without snapshots.
 *
 * @param history - every record ever appended
 * @returns the entities in force and the effect of each record
 */
export const foldReference = (
  history: readonly RawRecord[],
): { readonly entities: ReferenceTable; readonly rows: readonly ReferenceRow[] } => {
  const entities: ReferenceTable = new Map();
  const rows = history.map(({ offset, body }): ReferenceRow => {
    const record = body as ReferenceRecord;
    if (record.format !== 1 || record.kind === 'snapshot') return { kind: 'other' };
    const winner = checkReference(entities, record);
    if (winner === 'unknown') return { kind: 'void', winner: null };
    if (winner !== null) {
      return { kind: 'void', winner: { offset: winner.offset, author: winner.author } };
    }
    const { kind, entity, author } = record;
    entities.set(`${kind} ${entity}`, { kind, entity, offset, author, body: record.body });
    return { kind: 'in-force' };
  });
  return { entities, rows };
};

/** Describes an entity without its body, in which a daemon fills in default values. */
const describeEntry = (entry: ReferenceEntry | EntityEntry): string => {
  const { kind, entity, offset, author } = entry;
  return JSON.stringify([kind, entity, offset, author]);
};

const isExpired = ({ body }: ReferenceEntry | EntityEntry, now: number): boolean =>
  'expiresAt' in body && (body.expiresAt ?? 0) <= now;

/**
 * Describes entities for a comparison; an offset identifies the record and thereby its content.
 * Expired quarantines are left out, because snapshots leave them out.
 *
 * @param entities - entities by key
 * @param now - current instant
 * @returns a string that is equal for equal entities
 */
export const describeEntities = (
  entities: ReadonlyMap<string, ReferenceEntry | EntityEntry>,
  now: number,
): string =>
  [...entities.values()]
    .filter((entry) => !isExpired(entry, now))
    .map(describeEntry)
    .sort()
    .join('\n');
