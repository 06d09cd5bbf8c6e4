import { MAX_GONE_INCARNATIONS } from './constants.js';
import type { EndpointId } from '../../core/ids.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { RemovalCertainty } from '../types.js';

/** Incarnation of an endpoint that leaves or whose registration was removed. */
export interface GoneIncarnation {
  readonly startedAt: number;
  /** Lowest sequence of a record that shows that the incarnation registered again. */
  readonly minSequence: number;
}

/**
 * Newest incarnation of each endpoint that left, in the order in which that was learnt. It outlives the
 * state of the child, which may load older records from a restored store.
 */
export type GoneIncarnations = Map<EndpointId, GoneIncarnation>;

/**
 * Remembers an incarnation that leaves or was removed; above `MAX_GONE_INCARNATIONS` the oldest one is
 * dropped. Incarnations without a start time or sequence are not remembered.
 *
 * @param gone - incarnations, updated in place
 * @param record - newest record of the incarnation
 * @param sameRecord - `ignored` when the endpoint left after its newest record, so that the same record
 *   proves nothing; `applied` when that record states it, or may be written again unchanged
 */
export const recordGone = (
  gone: GoneIncarnations,
  { id, sequence, startedAt }: EndpointRecord,
  sameRecord: 'ignored' | 'applied',
): void => {
  gone.delete(id);
  if (startedAt === null || sequence === null) return;
  gone.set(id, { startedAt, minSequence: sameRecord === 'ignored' ? sequence + 1 : sequence });
  const [oldest] = gone.keys();
  if (gone.size > MAX_GONE_INCARNATIONS && oldest !== undefined) gone.delete(oldest);
};

const isBefore = (
  record: EndpointRecord,
  startedAt: number | null,
  minSequence: number | null,
  removals: RemovalCertainty,
): boolean => {
  if (record.startedAt === null || startedAt === null) return false;
  // A later incarnation may have an earlier start time because its clock was set back, so the start
  // time decides only while older records are expected.
  if (record.startedAt !== startedAt)
    return removals.kind === 'uncertain' && record.startedAt < startedAt;
  return record.sequence !== null && minSequence !== null && record.sequence < minSequence;
};

/**
 * Reports whether a record was written before what is known of its endpoint. A store that was
 * restored from an older copy returns such records.
 *
 * @param record - record that was read
 * @param known - newest known record of the endpoint
 * @param gone - removed incarnations
 * @param removals - whether the store may have been unavailable or restored
 * @returns true when the record must not replace what is known
 */
export const isOutdated = (
  record: EndpointRecord,
  known: EndpointRecord | undefined,
  gone: GoneIncarnations,
  removals: RemovalCertainty,
): boolean => {
  if (known !== undefined) return isBefore(record, known.startedAt, known.sequence, removals);
  const removed = gone.get(record.id);
  return (
    removed !== undefined && isBefore(record, removed.startedAt, removed.minSequence, removals)
  );
};

/**
 * Reports whether a record is the newest known one of its incarnation, read again.
 *
 * @param record - record that was read
 * @param known - newest known record of the endpoint
 * @returns true when both are the same record
 */
export const isSameRecord = (record: EndpointRecord, known: EndpointRecord): boolean =>
  record.startedAt !== null &&
  record.startedAt === known.startedAt &&
  record.sequence !== null &&
  record.sequence === known.sequence;
