import type { Millis } from '../../core/clock.js';
import type { ClassName, DataCentreId, ModelName, Offset, VersionName } from '../../core/ids.js';
import type { ClassTargets } from '../placement/types.js';

/** What an operator publishes for one class of work. */
export interface PublishedClass extends ClassTargets {
  readonly firstTokenMs: Millis;
  readonly tokenGapMs: Millis;
  /** Gap between tokens from which on a stream counts as stalled. */
  readonly stallMs: Millis;
  readonly deadlineMs: Millis;
  readonly repeat: 'allowed' | 'never';
  readonly delivery: 'stream' | 'whole';
}

export interface TargetsBody {
  readonly classes: readonly PublishedClass[];
}

export interface DataCentreBody {
  readonly state: 'in' | 'out';
}

export interface MoveBody {
  readonly name: string;
  readonly model: ModelName;
  readonly from: VersionName;
  readonly to: VersionName;
  readonly startedAt: Millis;
  readonly deadline: Millis;
}

export interface MoveEndedBody {
  readonly outcome: 'done' | 'taken-back';
  readonly reason: string;
}

export interface MoveNotifiedBody {
  /** Offset of the terminal record that operators were notified of. */
  readonly endedAt: Offset;
}

export interface QuarantineBody {
  readonly expiresAt: Millis;
}

/** Content of an entity, by the kind of its record. */
export type EntityContent =
  | { readonly kind: 'targets'; readonly body: TargetsBody }
  | { readonly kind: 'data-centre'; readonly body: DataCentreBody }
  | { readonly kind: 'move'; readonly body: MoveBody }
  | { readonly kind: 'move-ended'; readonly body: MoveEndedBody }
  | { readonly kind: 'move-notified'; readonly body: MoveNotifiedBody }
  | { readonly kind: 'quarantine'; readonly body: QuarantineBody };

export type EntityKind = EntityContent['kind'];

interface RecordBase {
  readonly format: 1;
  readonly author: string;
  readonly nonce: string;
}

/** Record that changes one entity. */
export type EntityRecord = RecordBase &
  EntityContent & {
    readonly entity: string;
    /** Offset of the entity's record that the author knew; null for a new entity. */
    readonly basedOn: Offset | null;
  };

/** State as of an offset, appended again before retention drops the records behind it. */
export interface SnapshotRecord extends RecordBase {
  readonly kind: 'snapshot';
  /** The snapshot contains every record below this offset. */
  readonly asOf: Offset;
  readonly entities: readonly EntityEntry[];
}

export type ControlRecord = EntityRecord | SnapshotRecord;

/** An entity that is in force. */
export type EntityEntry = EntityContent & {
  readonly entity: string;
  readonly offset: Offset;
  readonly author: string;
};

/** Who won a race. */
export interface Winner {
  readonly offset: Offset;
  readonly author: string;
}

/** What folding one record did. */
export type FoldResult =
  | { readonly kind: 'in-force'; readonly entry: EntityEntry }
  | { readonly kind: 'void'; readonly record: EntityRecord; readonly winner: Winner | null }
  | { readonly kind: 'snapshot'; readonly asOf: Offset }
  /** The record is of a later format, or its offset is not the next one. */
  | { readonly kind: 'known' };

/** A record as it was read, for peers that are behind. */
export interface RawRecord {
  readonly offset: Offset;
  readonly at: Millis;
  readonly body: unknown;
}

/** Configuration up to an offset; the offset never goes back. */
export interface ConfigurationState {
  readonly nextOffset: Offset;
  /** Entities in force by kind and name. */
  readonly entities: ReadonlyMap<string, EntityEntry>;
  /** Raw records from `recentFrom` to `nextOffset`, without a gap. */
  readonly recent: readonly RawRecord[];
  /** Whether records were dropped before they were read, so that a snapshot is needed. */
  readonly standing: 'exact' | 'needs-snapshot';
  /** Records read since the gap, until a snapshot gives them their base. */
  readonly deferred: readonly { readonly offset: Offset; readonly record: EntityRecord }[];
  /** First offset read after the gap; only a snapshot that reaches it closes the gap. */
  readonly gapEnd: Offset;
}

/** State that one process hands to another. */
export interface ConfigurationSnapshot {
  readonly nextOffset: Offset;
  readonly entities: readonly EntityEntry[];
}

/** What a peer at an older offset is sent. */
export interface ConfigurationDelta {
  readonly watermark: Offset;
  readonly records: readonly RawRecord[];
  readonly snapshot: ConfigurationSnapshot | null;
}

/** The configuration as other parts use it. */
export interface ConfigurationView {
  readonly offset: Offset;
  readonly classes: ReadonlyMap<ClassName, PublishedClass>;
  readonly dataCentresOut: readonly DataCentreId[];
  readonly moves: readonly MoveView[];
  readonly quarantined: ReadonlyMap<string, Millis>;
}

export interface MoveEnd extends MoveEndedBody {
  readonly offset: Offset;
  readonly author: string;
  /** Whether the log shows that operators were notified. */
  readonly notice: 'open' | 'sent';
}

export interface MoveView extends MoveBody {
  readonly offset: Offset;
  /** Terminal record, the first one in log order. */
  readonly ended: MoveEnd | null;
}
