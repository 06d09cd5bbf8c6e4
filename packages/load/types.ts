import type { Arrival } from './arrivals/types.js';
import type { EngineCounters } from './samples/types.js';
import type { OperatorAction, ProcessFault, ScheduleEntry } from './scenario/types.js';
import type { Millis } from '../core/clock.js';
import type { CustomerId } from '../core/ids.js';
import type { Verdict } from '../core/verdict.js';

/** Addresses of a service stand-in. */
export interface LedgerUrls {
  readonly url: string;
  readonly inspectionUrl: string;
}

/** A running system under load, with what the load generator may do to it. */
export interface Cluster {
  /** Callers' interfaces of the entry daemons, in the order of a balancer. */
  readonly entryUrls: readonly string[];
  readonly customerKeys: Readonly<Record<CustomerId, string>>;
  /** Engine stand-ins by id of the scenario. */
  readonly engineUrls: Readonly<Record<string, string>>;
  /** Service stand-ins by id of the scenario. */
  readonly ledgerUrls: Readonly<Record<string, LedgerUrls>>;
  readonly platformUrl: string;
  /** Carries out a fault of a process of the system. */
  readonly applyFault: (process: string, fault: ProcessFault) => Promise<void>;
  /** Carries out an operator's action through the operator interface. */
  readonly operate: (action: OperatorAction) => Promise<void>;
}

/** How a request ended for its caller. */
export type Outcome =
  | { readonly kind: 'finished'; readonly answer: unknown }
  | {
      readonly kind: 'failed';
      readonly verdict: Verdict;
      readonly code: string;
      readonly status: number;
    }
  /** No entry daemon gave an answer with a verdict. */
  | { readonly kind: 'no-answer'; readonly reason: string }
  | { readonly kind: 'unfinished' };

/** Why a caller called again. */
export type RetryKind = 'resumed' | 'sent-again';

export type RequestsEvent =
  | { readonly kind: 'sent'; readonly arrival: Arrival; readonly at: Millis }
  | {
      readonly kind: 'text';
      readonly number: number;
      readonly at: Millis;
      readonly text: string;
    }
  | { readonly kind: 'called-again'; readonly number: number; readonly retryKind: RetryKind }
  | {
      readonly kind: 'ended';
      readonly number: number;
      readonly at: Millis;
      readonly outcome: Outcome;
    }
  | { readonly kind: 'arrivals-over' }
  | { readonly kind: 'drain-over' };

export interface TimetableEvent {
  readonly kind: 'tick';
}

export type SamplesEvent =
  | { readonly kind: 'sample-due' }
  | { readonly kind: 'sampled'; readonly at: Millis; readonly counters: readonly EngineCounters[] }
  | {
      readonly kind: 'acted';
      readonly at: Millis;
      readonly scheduled: ScheduleEntry;
      readonly error: string;
    };

export type LoadEvent =
  | ({ readonly to: 'timetable' } & TimetableEvent)
  | ({ readonly to: 'requests' } & RequestsEvent)
  | ({ readonly to: 'samples' } & SamplesEvent);

export type LoadEffect =
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: LoadEvent }
  | { readonly kind: 'send'; readonly arrival: Arrival }
  | { readonly kind: 'act'; readonly scheduled: ScheduleEntry }
  | { readonly kind: 'sample' }
  | { readonly kind: 'done' };
