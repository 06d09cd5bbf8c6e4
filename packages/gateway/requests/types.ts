import type { GatewayEffect } from '../events.js';
import type { AnswerHead, LiveSettings } from '../types.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import type { CrashTable } from '../../decisions/forwarding/crashSuspicion.js';
import type { SplitterState } from '../../decisions/forwarding/eventSplitter.js';
import type { Candidate } from '../../decisions/forwarding/placeForward.js';
import type { BudgetWindow } from '../../decisions/forwarding/retryBudget.js';
import type { RoutingTable } from '../../decisions/forwarding/routing.js';
import type {
  Customer,
  EndpointRecord,
  ForwardRequest,
  Route,
  Service,
  ServiceName,
} from '../../decisions/forwarding/types.js';

/** Why an attempt was made. */
export type AttemptPurpose = 'first' | 'retry' | 'hedge' | 'continuation';

/**
 * Transfer of a running generation to another endpoint. It waits for its turn at the link of the
 * source; while it is copied, the source runs on; then the source stops, and its stream ends
 * without its end.
 */
export type Transfer =
  | {
      readonly phase: 'waiting';
      /** Orders that were given to the source so far. */
      readonly tries: number;
      readonly dueAt: Millis;
    }
  | {
      readonly phase: 'copying' | 'stopping';
      readonly tries: number;
      readonly target: EndpointRecord;
    };

/** Copy of a running generation that a transfer left at another endpoint. */
export interface TransferredCopy {
  readonly holder: EndpointRecord;
  /** Name that the source gave to it. */
  readonly handle: string;
}

/** How far an attempt has come; before `sent` the endpoint cannot have run the request. */
export type AttemptPhase = 'connecting' | 'sent' | 'answering';

/** One attempt at one endpoint; updated in place by the requests child alone. */
export interface Attempt {
  readonly number: number;
  readonly endpoint: EndpointRecord;
  readonly purpose: AttemptPurpose;
  readonly startedAt: Millis;
  /** Endpoint that keeps a growing copy of the generation from its start. */
  readonly backup: EndpointRecord | null;
  phase: AttemptPhase;
  head: AnswerHead | null;
  readonly chunks: Uint8Array[];
  bytes: number;
  splitter: SplitterState;
  lastEventAt: Millis;
  transfer: Transfer | null;
  /** Copy of the generation that a transfer made; null without one. */
  copy: TransferredCopy | null;
  /** Endpoints that had no room for the generation, and orders that failed. */
  readonly refusedTargets: Set<EndpointId>;
  /** Whether the endpoint's stream may still bring events. */
  streamState: 'open' | 'ended';
  /** Events that came from this endpoint. */
  events: number;
}

/** Answer of an endpoint that is kept while another attempt runs. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}

/** One request in progress; updated in place by the requests child alone. */
export interface Forwarding {
  readonly request: ForwardRequest;
  readonly route: Route;
  readonly service: Service;
  readonly customer: Customer | null;
  readonly deadlineAt: Millis;
  readonly attempts: Map<number, Attempt>;
  readonly tried: Set<EndpointId>;
  attemptsMade: number;
  /** Attempts that may have run. */
  possibleRuns: number;
  /** Attempts that ended without running. */
  notRunAttempts: number;
  verdict: 'not-run' | 'may-have-run';
  delivered: 'nothing' | 'events';
  lastEventId: string | null;
  /** Events that the caller has. */
  eventsDelivered: number;
  fallbackAnswer: WholeAnswer | null;
  firstEventAt: Millis | null;
  longestGapMs: Millis;
  lastDeliveredAt: Millis;
}

export interface RequestsState {
  readonly table: Map<number, Forwarding>;
  readonly budgets: Map<ServiceName, BudgetWindow>;
  /** Instants of the newest requests to each cold endpoint. */
  readonly coldSends: Map<EndpointId, readonly Millis[]>;
}

/** Where a daemon is in its drain. */
export interface DrainTimes {
  /** Time since the order to stop. */
  readonly drainedMs: Millis;
  /** Time until the daemon ends at the latest. */
  readonly leftMs: Millis;
}

/** What the decisions on requests read of the rest of the daemon. */
export interface RequestsInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly getTable: () => RoutingTable | null;
  readonly listEndpoints: (service: ServiceName) => readonly Candidate[];
  readonly countDaemons: () => number;
  /** Null while the daemon stays. */
  readonly getDrain: () => DrainTimes | null;
  /** Whether another daemon has a generation of more worth to take from an endpoint. */
  readonly hasPeerBefore: (source: EndpointId, worth: number) => boolean;
  readonly getLive: () => LiveSettings;
  readonly crashes: CrashTable;
  readonly addOwnCrash: (fingerprint: string, endpoint: string) => void;
  readonly hashContent: (request: ForwardRequest) => string;
}

/** State and inputs of one decision on requests. */
export interface RequestsContext {
  readonly state: RequestsState;
  readonly inputs: RequestsInputs;
}

export type Effects = readonly GatewayEffect[];
