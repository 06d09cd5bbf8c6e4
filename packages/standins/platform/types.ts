import type { CommonEffect } from '../common/routedDaemon.js';
import type { ReplyId } from '../common/pendingRequests.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

/** Fault of the log; with `lose-answers`, appends take effect but their answers are lost. */
export type LogMode = 'up' | 'down' | 'slow' | 'lose-answers';

export type ListMode = 'up' | 'down';

/** Record as the log returns it. */
export interface StoredRecord {
  readonly offset: Offset;
  readonly at: Millis;
  readonly body: unknown;
}

/** Instance as the platform lists it. */
export interface Instance {
  readonly id: string;
  readonly role: 'entry' | 'endpoint';
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
  readonly rpcUrl: string;
  readonly httpUrl: string;
  readonly model?: string | undefined;
  readonly version?: string | undefined;
  readonly service?: string | undefined;
}

/** Settings that `POST /faults` changes; a missing field keeps its current value. */
export interface PlatformFaults {
  readonly log?: LogMode | undefined;
  readonly list?: ListMode | undefined;
  readonly listLagMs?: Millis | undefined;
  readonly appendDelayMs?: Millis | undefined;
  readonly retentionRecords?: number | undefined;
  readonly retentionMs?: Millis | undefined;
}

export type LogEvent =
  | {
      readonly kind: 'append';
      readonly reply: ReplyId;
      readonly stream: string;
      readonly records: readonly unknown[];
    }
  | {
      readonly kind: 'append-due';
      readonly reply: ReplyId;
      readonly stream: string;
      readonly records: readonly unknown[];
    }
  | {
      readonly kind: 'read';
      readonly reply: ReplyId;
      readonly stream: string;
      readonly from: Offset;
      readonly limit: number;
      readonly waitMs: Millis;
    }
  | { readonly kind: 'read-expired'; readonly reply: ReplyId };

export type InstancesEvent =
  | { readonly kind: 'list-instances'; readonly reply: ReplyId }
  | { readonly kind: 'put-instance'; readonly reply: ReplyId; readonly instance: Instance }
  | { readonly kind: 'delete-instance'; readonly reply: ReplyId; readonly id: string };

export interface WeightsEvent {
  readonly kind: 'fetch-weights';
  readonly reply: ReplyId;
  readonly model: string;
  readonly version: string;
}

export interface FaultsEvent {
  readonly kind: 'set-faults';
  readonly faults: PlatformFaults;
}

export type PlatformEvent =
  | ({ readonly to: 'log' } & (LogEvent | FaultsEvent))
  | ({ readonly to: 'instances' } & (InstancesEvent | FaultsEvent))
  | ({ readonly to: 'weights' } & WeightsEvent);

export type PlatformEffect = CommonEffect<PlatformEvent>;

export interface PlatformOptions {
  /** Port on 127.0.0.1; 0 picks a free one. */
  readonly port?: number;
  /** Append requests that the log admits per second. */
  readonly appendsPerSecond?: number;
  /** Records that each stream keeps. */
  readonly retentionRecords?: number;
  /** Age above which records are removed. */
  readonly retentionMs?: Millis;
  /** Age of the instance list that callers see. */
  readonly listLagMs?: Millis;
  /** Delay of appends and reads while the log is `slow`. */
  readonly appendDelayMs?: Millis;
  /** Fetches that the weight store admits per second. */
  readonly weightsPerSecond?: number;
  /** Fetches that the weight store admits at once. */
  readonly weightsBurst?: number;
}

export type PlatformSettings = Required<Omit<PlatformOptions, 'port'>>;
