import type { Arrival } from './arrivals/types.js';
import type { EngineCounters } from './samples/types.js';
import type { OperatorAction, ProcessFault, ScheduleEntry } from './scenario/types.js';
import type { Millis } from '../core/clock.js';
import type { CustomerId } from '../core/ids.js';
import type { Verdict } from '../core/verdict.js';

/** Addresses of a service stand-in: its calls and its inspection pages. */
export interface ServiceUrls {
  readonly url: string;
  readonly inspectionUrl: string;
}

/** A running system under load, with the controls that the load generator uses. */
export interface TargetCluster {
  /** Caller interfaces of the entry daemons, in the order in which a load balancer uses them. */
  readonly entryUrls: readonly string[];
  readonly customerKeys: Readonly<Record<CustomerId, string>>;
  /** Engine stand-ins by their id in the scenario. */
  readonly engineUrls: Readonly<Record<string, string>>;
  /** Service stand-ins by their id in the scenario. */
  readonly ledgerUrls: Readonly<Record<string, ServiceUrls>>;
  readonly platformUrl: string;
  /** Injects a fault into a process of the system. */
  readonly applyFault: (process: string, fault: ProcessFault) => Promise<void>;
  /** Performs an operator's action through the operator interface. */
  readonly performOperatorAction: (action: OperatorAction) => Promise<void>;
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
  /** No entry daemon returned a response with a verdict. */
  | { readonly kind: 'no-answer'; readonly reason: string }
  /** The request was still in progress at the end of the drain time. */
  | { readonly kind: 'unfinished' };

/** How a caller retried a broken call: with a resume ticket, or by sending the request again. */
export type RetryKind = 'resumed' | 'sent-again';

export type RequestsEvent =
  | { readonly kind: 'sent'; readonly arrival: Arrival; readonly at: Millis }
  | {
      readonly kind: 'text';
      readonly number: number;
      readonly at: Millis;
      readonly text: string;
    }
  | { readonly kind: 'retried'; readonly number: number; readonly retryKind: RetryKind }
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
      readonly kind: 'action-performed';
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
