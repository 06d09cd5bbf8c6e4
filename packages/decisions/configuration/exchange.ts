import {
  CONTROL_FORMAT,
  DELTA_MAX_BYTES,
  SNAPSHOT_DUE_FRACTION,
  SNAPSHOT_DUE_RECORDS,
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
 * Builds the snapshot that another process receives.
 *
 * @param state - configuration whose standing is `exact`
 * @returns the snapshot
 */
export const toSnapshot = (state: ConfigurationState): ConfigurationSnapshot => ({
  nextOffset: state.nextOffset,
  entities: [...state.entities.values()],
});

/**
 * Replaces the configuration by a snapshot of another process if the snapshot is newer, or equally
 * new while records are missing here.
 *
 * @param state - own configuration
 * @param snapshot - state of the other process
 * @returns the newer configuration
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
    // A single record over the budget is sent too; otherwise the peer could never read past it.
    if (bytes > DELTA_MAX_BYTES && selected.length > 0) break;
    selected.push(record);
  }
  return selected;
};

/**
 * Decides what to send to a peer: the records that it misses, or a snapshot when these are no
 * longer retained.
 *
 * @param state - own configuration
 * @param offset - first offset that the peer has not folded
 * @returns the delta, empty while the own configuration needs a snapshot
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

/** Bounds of the retained log and of its newest snapshot. */
export interface RetentionInfo {
  /** Oldest offset that the log retains. */
  readonly firstOffset: Offset;
  /** `asOf` of the newest snapshot in the log, or null. */
  readonly snapshotAt: Offset | null;
  /** Age of the newest snapshot or, without one, of the oldest record in the log. */
  readonly snapshotAgeMs: Millis;
  /** Age at which a snapshot is due at any offset; well below the log's retention time. */
  readonly maxAgeMs: Millis;
  readonly now: Millis;
}

/**
 * Plans the snapshot that must be appended before retention drops the records that it covers.
 * Several daemons may append one at the same time, because a second snapshot changes nothing.
 *
 * @param state - own configuration
 * @param info - bounds of the log and of its newest snapshot
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
