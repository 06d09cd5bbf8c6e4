import type { Millis } from '../../core/clock.js';
import type { ClassName, DataCentreId, ModelName, Offset, VersionName } from '../../core/ids.js';
import type { ClassTargets } from '../placement/types.js';

/** Targets and rules that an operator publishes for one class of work. */
export interface PublishedClass extends ClassTargets {
  readonly firstTokenMs: Millis;
  readonly tokenGapMs: Millis;
  /** Gap between tokens from which a stream counts as stalled. */
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
  /** Offset of the terminal record of which operators were notified. */
  readonly endedAt: Offset;
}

export interface QuarantineBody {
  readonly expiresAt: Millis;
}

/** Content of an entity, by kind of record. */
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
    /** Offset of the entity's latest record that the author had read; null for a new entity. */
    readonly basedOn: Offset | null;
  };

/** State as of an offset, appended before retention drops the records that it covers. */
export interface SnapshotRecord extends RecordBase {
  readonly kind: 'snapshot';
  /** The snapshot covers every record below this offset. */
  readonly asOf: Offset;
  readonly entities: readonly EntityEntry[];
}

export type ControlRecord = EntityRecord | SnapshotRecord;

/** Entity in force, with the record that set it. */
export type EntityEntry = EntityContent & {
  readonly entity: string;
  readonly offset: Offset;
  readonly author: string;
};

/** Record in force because of which another record is void. */
export interface Winner {
  readonly offset: Offset;
  readonly author: string;
}

/** Effect of folding one record. */
export type FoldResult =
  | { readonly kind: 'in-force'; readonly entry: EntityEntry }
  /** The record has no effect. `winner` is null when nothing that it builds on is in force. */
  | { readonly kind: 'void'; readonly record: EntityRecord; readonly winner: Winner | null }
  | { readonly kind: 'snapshot'; readonly asOf: Offset }
  /** No effect: the record is unreadable or deferred, or its offset is not the next one. */
  | { readonly kind: 'ignored' };

/** Record as it was read from the log, retained for peers that are behind. */
export interface RawRecord {
  readonly offset: Offset;
  readonly at: Millis;
  readonly body: unknown;
}

/** Configuration up to an offset, which never decreases. */
export interface ConfigurationState {
  /** First offset that was not folded. */
  readonly nextOffset: Offset;
  /** Entities in force, by the key of their kind and name. */
  readonly entities: ReadonlyMap<string, EntityEntry>;
  /** Raw records immediately before `nextOffset`, without a gap. */
  readonly recent: readonly RawRecord[];
  /** `needs-snapshot` when the log dropped records before they were read. */
  readonly standing: 'exact' | 'needs-snapshot';
  /** Records read after a gap, deferred until a snapshot supplies the state before them. */
  readonly deferred: readonly { readonly offset: Offset; readonly record: EntityRecord }[];
  /** First offset after the gap; only a snapshot as of this offset or later closes the gap. */
  readonly gapEnd: Offset;
}

/** State that one process sends to another. */
export interface ConfigurationSnapshot {
  readonly nextOffset: Offset;
  readonly entities: readonly EntityEntry[];
}

/** Records or snapshot for a peer that is behind. */
export interface ConfigurationDelta {
  /** `nextOffset` of the sender. */
  readonly watermark: Offset;
  readonly records: readonly RawRecord[];
  readonly snapshot: ConfigurationSnapshot | null;
}

/** Configuration in the form that other modules use. */
export interface ConfigurationView {
  readonly offset: Offset;
  readonly classes: ReadonlyMap<ClassName, PublishedClass>;
  readonly dataCentresOut: readonly DataCentreId[];
  readonly moves: readonly MoveView[];
  /** Expiry by name of the quarantined entity. */
  readonly quarantined: ReadonlyMap<string, Millis>;
}

export interface MoveEnd extends MoveEndedBody {
  readonly offset: Offset;
  readonly author: string;
  /** `sent` when the log shows that operators were notified. */
  readonly notice: 'open' | 'sent';
}

export interface MoveView extends MoveBody {
  readonly offset: Offset;
  /** First terminal record in log order; null while the move is open. */
  readonly ended: MoveEnd | null;
}
