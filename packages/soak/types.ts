import type { Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId } from '../core/ids.js';

/** What a proxy does with the bytes of its connections. */
export type LinkMode =
  | 'pass'
  | 'delay'
  /** Connections are reset, new ones too. */
  | 'reset'
  /** Bytes of both directions are held back; connections stay open. */
  | 'silence'
  /** Requests pass, and answers are held back. */
  | 'one-way';

/** How the store treats calls. */
export type StoreFaultMode = 'busy' | 'silent' | 'reset';

/** Link between a gateway and the store, or between the gateways and a worker slot. */
export type LinkId =
  | { readonly kind: 'store'; readonly gateway: number }
  | { readonly kind: 'worker'; readonly slot: number };

/** One fault or planned change; slots and gateways are numbered from 0. */
export type SoakFault =
  | { readonly kind: 'kill'; readonly gateway: number; readonly durationMs: Millis }
  | { readonly kind: 'pause'; readonly gateway: number; readonly durationMs: Millis }
  | { readonly kind: 'terminate'; readonly gateway: number }
  | { readonly kind: 'reload'; readonly gateway: number }
  | {
      readonly kind: 'link';
      readonly link: LinkId;
      readonly mode: Exclude<LinkMode, 'pass'>;
      readonly durationMs: Millis;
    }
  | { readonly kind: 'store'; readonly mode: StoreFaultMode; readonly durationMs: Millis }
  | { readonly kind: 'forget-history' }
  | { readonly kind: 'worker-crash'; readonly slot: number; readonly durationMs: Millis }
  | {
      readonly kind: 'worker-leave';
      readonly slot: number;
      readonly notice: 'told' | 'untold';
      readonly durationMs: Millis;
    }
  | { readonly kind: 'configure' }
  | { readonly kind: 'revoke-key' }
  | { readonly kind: 'data-centre-out'; readonly dataCentre: number; readonly durationMs: Millis };

/** A fault with its instant from the start of the traffic. */
export interface TimedFault {
  readonly at: Millis;
  readonly fault: SoakFault;
}

/** Kinds of requests that callers send. */
export type CallKind = 'once' | 'idempotent' | 'generation' | 'resumable';

/** How a request ended for its caller. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Worker's mark on its answer; null when the answer is the system's own. */
      readonly signature: string | null;
      readonly body: string;
      /** Ids of the events of a stream. */
      readonly eventIds: readonly number[];
    }
  /** The connection ended before the answer did. */
  | { readonly kind: 'cut'; readonly eventIds: readonly number[] }
  /** Nobody took the request. */
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'given-up' };

/** One request as its caller saw it; instants are those of the soak's steady clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly gateway: number;
  /** Run of the gateway's process, from 1. */
  readonly incarnation: number;
  readonly key: string;
  readonly customer: CustomerId;
  readonly body: string;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  readonly outcome: CallOutcome;
}

/** One run as a worker saw it. */
export interface RunRecord {
  readonly requestId: string;
  readonly workerId: string;
  readonly dataCentre: DataCentreId;
  readonly at: Millis;
  readonly customer: string | null;
  /** Whether the caller's key reached the worker. */
  readonly credential: 'kept-back' | 'leaked';
  /** `continued`: it goes on from a copy of the same generation or from an event id. */
  readonly start: 'begun' | 'continued' | 'foreign-copy';
}

/** A time in which something outside the gateways was disturbed, or a gateway itself. */
export interface Disruption {
  readonly from: Millis;
  readonly until: Millis;
}

/** A promise that was seen broken. */
export interface Finding {
  readonly promise:
    | 'at-most-once'
    | 'true-refusal'
    | 'own-answer'
    | 'events-in-order'
    | 'own-customer'
    | 'unasked-run'
    | 'no-new-work-for-leaving'
    | 'no-new-work-in-data-centre-out'
    | 'revoked-key'
    | 'drain-loses-nothing'
    | 'recovery'
    | 'process-stays'
    | 'process-ends';
  readonly detail: string;
}

/** A change whose effect has to be seen within a bound. */
export type PublishedChange =
  | { readonly kind: 'worker-leaving'; readonly workerId: string; readonly at: Millis }
  | { readonly kind: 'key-revoked'; readonly key: string; readonly at: Millis }
  | {
      readonly kind: 'data-centre-out';
      readonly dataCentre: DataCentreId;
      readonly at: Millis;
      readonly until: Millis;
    };

/** An order to a gateway's process to end. */
export interface Termination {
  readonly gateway: number;
  readonly incarnation: number;
  readonly at: Millis;
}

/** Everything that a soak observed. */
export interface Observations {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly changes: readonly PublishedChange[];
  readonly terminations: readonly Termination[];
  readonly disruptions: readonly Disruption[];
}
