import type { Millis } from '../../../core/clock.js';
import type { Offset } from '../../../core/ids.js';
import type { StoredRecord } from '../types.js';

/** Consecutive records of a stream. */
export interface StreamPage {
  readonly records: readonly StoredRecord[];
  /** Offset at which the next read continues. */
  readonly nextOffset: Offset;
  /** Offset of the oldest record that the stream still holds. */
  readonly firstOffset: Offset;
}

/** Limits on what a stream keeps. */
export interface Retention {
  /** Largest number of records. */
  readonly records: number;
  /** Largest age of a record. */
  readonly ageMs: Millis;
}

/**
 * Records by stream. A stream can hold hundreds of thousands of records, so the table is updated in
 * place, by the log child alone.
 */
export interface RecordTable {
  /** Appends records and returns the offset of the first. */
  readonly append: (stream: string, bodies: readonly unknown[], at: Millis) => Offset;
  /** Removes records that exceed the retention limits. */
  readonly expire: (stream: string, retention: Retention, now: Millis) => void;
  /** Returns at most `limit` records, starting at `from` or at the oldest record that is left. */
  readonly read: (stream: string, from: Offset, limit: number) => StreamPage;
}

interface Stream {
  records: StoredRecord[];
  /** Number of expired records that are still at the front of the array. */
  dropped: number;
  nextOffset: Offset;
}

/** Expired records are removed from the array in batches, because each removal copies the rest. */
const COMPACTION_MIN_RECORDS = 1_024;

const countExpired = (stream: Stream, retention: Retention, now: Millis): number => {
  let dropped = Math.max(stream.dropped, stream.records.length - retention.records);
  while (dropped < stream.records.length) {
    const record = stream.records[dropped] as StoredRecord;
    if (record.at >= now - retention.ageMs) break;
    dropped += 1;
  }
  return dropped;
};

/**
 * Creates a record table.
 *
 * @returns the empty table
 */
export const createRecordTable = (): RecordTable => {
  const streams = new Map<string, Stream>();

  const openStream = (name: string): Stream => {
    const existing = streams.get(name);
    if (existing !== undefined) return existing;
    const created: Stream = { records: [], dropped: 0, nextOffset: 0 };
    streams.set(name, created);
    return created;
  };

  return {
    append: (name, bodies, at) => {
      const stream = openStream(name);
      const firstOffset = stream.nextOffset;
      bodies.forEach((body, index) =>
        stream.records.push({ offset: firstOffset + index, at, body }),
      );
      stream.nextOffset += bodies.length;
      return firstOffset;
    },
    expire: (name, retention, now) => {
      const stream = openStream(name);
      stream.dropped = countExpired(stream, retention, now);
      if (stream.dropped < COMPACTION_MIN_RECORDS) return;
      stream.records = stream.records.slice(stream.dropped);
      stream.dropped = 0;
    },
    read: (name, from, limit) => {
      const stream = openStream(name);
      const firstOffset = stream.nextOffset - (stream.records.length - stream.dropped);
      const start = Math.max(from, firstOffset) - firstOffset + stream.dropped;
      const records = stream.records.slice(start, start + limit);
      const last = records.at(-1);
      const nextOffset = last === undefined ? Math.max(from, firstOffset) : last.offset + 1;
      return { records, nextOffset: Math.min(nextOffset, stream.nextOffset), firstOffset };
    },
  };
};
