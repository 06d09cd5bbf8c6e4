import {
  CONTROL_FORMAT,
  DELTA_MAX_BYTES,
  SNAPSHOT_DUE_RECORDS,
  SNAPSHOT_DUE_FRACTION,
} from './constants.js';
import { formatEntityKey } from './fold.js';
import type {
  ConfigurationDelta,
  ConfigurationSnapshot,
  ConfigurationState,
  EntityEntry,
  RawRecord,
  SnapshotRecord,
} from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

const isLive = (entry: EntityEntry, now: Millis): boolean =>
  entry.kind !== 'quarantine' || entry.body.expiresAt > now;

/**
 * Describes the configuration for another process.
 *
 * @param state - configuration whose standing is `exact`
 * @returns the snapshot
 */
export const toSnapshot = (state: ConfigurationState): ConfigurationSnapshot => ({
  nextOffset: state.nextOffset,
  entities: [...state.entities.values()],
});

/**
 * Takes over a state from another process, unless the own one is as new.
 *
 * @param state - own configuration
 * @param snapshot - state of the other process
 * @returns the newer of both
 */
export const applySnapshot = (
  state: ConfigurationState,
  snapshot: ConfigurationSnapshot,
): ConfigurationState => {
  const isNewer =
    snapshot.nextOffset > state.nextOffset ||
    (state.standing === 'needs-snapshot' && snapshot.nextOffset === state.nextOffset);
  if (!isNewer) return state;
  return {
    nextOffset: snapshot.nextOffset,
    entities: new Map(
      snapshot.entities.map((entry) => [formatEntityKey(entry.kind, entry.entity), entry]),
    ),
    recent: [],
    standing: 'exact',
    deferred: [],
    gapEnd: 0,
  };
};

const limitBytes = (records: readonly RawRecord[]): readonly RawRecord[] => {
  let bytes = 0;
  const selected: RawRecord[] = [];
  for (const record of records) {
    bytes += JSON.stringify(record.body).length;
    // A single record above the budget still goes, or its reader would never get past it.
    if (bytes > DELTA_MAX_BYTES && selected.length > 0) break;
    selected.push(record);
  }
  return selected;
};

/**
 * Decides what a peer at an offset is sent: the records it misses, or a snapshot when they are no
 * longer kept.
 *
 * @param state - own configuration
 * @param offset - first offset that the peer has not folded
 * @returns the delta
 */
export const decideDelta = (state: ConfigurationState, offset: Offset): ConfigurationDelta => {
  const watermark = state.nextOffset;
  if (state.standing === 'needs-snapshot' || offset >= watermark) {
    return { watermark, records: [], snapshot: null };
  }
  const recentFrom = watermark - state.recent.length;
  if (offset < recentFrom) return { watermark, records: [], snapshot: toSnapshot(state) };
  const missing = state.recent.filter((record) => record.offset >= offset);
  return { watermark, records: limitBytes(missing), snapshot: null };
};

/** Bounds of what the log still holds. */
export interface RetentionInfo {
  readonly firstOffset: Offset;
  /** `asOf` of the newest snapshot in the log, or null. */
  readonly snapshotAt: Offset | null;
  /** Age of the newest snapshot, or of the oldest record of the log when there is none. */
  readonly snapshotAgeMs: Millis;
  /** Age at which a snapshot is due whatever the offsets; well below the log's retention time. */
  readonly maxAgeMs: Millis;
  readonly now: Millis;
}

/**
 * Plans the snapshot that must be appended before retention drops what it covers. Several daemons
 * may do so at once: a second snapshot changes nothing.
 *
 * @param state - own configuration
 * @param info - bounds of the log
 * @param author - name of this process
 * @param nonce - identifier of the record
 * @returns the record, or null while none is due
 */
export const planSnapshot = (
  state: ConfigurationState,
  info: RetentionInfo,
  author: string,
  nonce: string,
): SnapshotRecord | null => {
  if (state.standing !== 'exact' || state.entities.size === 0) return null;
  const dueBelow = info.firstOffset + (state.nextOffset - info.firstOffset) * SNAPSHOT_DUE_FRACTION;
  const isCovered = info.snapshotAt !== null && info.snapshotAt >= dueBelow;
  const isOffsetDue = info.firstOffset > 0 && !isCovered;
  const isCountDue = state.nextOffset - (info.snapshotAt ?? 0) >= SNAPSHOT_DUE_RECORDS;
  if (!isOffsetDue && !isCountDue && info.snapshotAgeMs < info.maxAgeMs) return null;
  return {
    kind: 'snapshot',
    format: CONTROL_FORMAT,
    author,
    nonce,
    asOf: state.nextOffset,
    entities: [...state.entities.values()].filter((entry) => isLive(entry, info.now)),
  };
};
