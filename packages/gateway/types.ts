import type { UsageSettings } from './usage/usageState.js';
import type { Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId, EndpointId } from '../core/ids.js';
import type { RetryBudgetSettings } from '../decisions/forwarding/budgetWindow.js';
import type { EndpointStatement } from '../decisions/forwarding/statements.js';
import type {
  EndpointAddress,
  EndpointRecord,
  ForwardingConfiguration,
  ForwardRequest,
  GenerationDemand,
  ServiceName,
} from '../decisions/forwarding/types.js';

/** Settings of one gateway daemon. */
export interface GatewaySettings {
  readonly process: string;
  readonly dataCentre: DataCentreId;
  /** Address for connections of callers. */
  readonly callers: EndpointAddress;
  /** Address for readiness probes of the platform. */
  readonly readiness: EndpointAddress;
  /** Address for datagrams from other gateway daemons. */
  readonly peers: EndpointAddress;
  readonly metrics: EndpointAddress;
  readonly store: StoreSettings;
  /** Memory above which the platform kills the process. */
  readonly memoryBytes: number;
  /** Files, sockets and pipes that the process may have open. */
  readonly maxDescriptors: number;
  /** How the use of the system is reported; null when it is not. */
  readonly usage: UsageSettings | null;
  readonly live: LiveSettings;
}

/** Settings that a running daemon applies when the settings file changes. */
export interface LiveSettings {
  /** Hosts at which to look for other gateway daemons; some may be down. */
  readonly seeds: readonly string[];
  readonly budget: RetryBudgetSettings;
  /** Time from the stop signal until the platform kills the process. */
  readonly graceMs: Millis;
  /** Multiplier of the request rate limit of a cold endpoint. */
  readonly coldOvershoot: number;
  readonly learnWithin: StalenessLimits;
}

/** Time limits within which a daemon has to learn of published records. */
export interface StalenessLimits {
  /** Time within which a daemon has to learn that an endpoint leaves. */
  readonly leavingMs: Millis;
  /** Time within which a daemon has to learn that a data centre is out of service. */
  readonly dataCentreOutMs: Millis;
  /** Time after a disruption of the daemon's connections from which the other limits apply. */
  readonly outageMs: Millis;
}

/** Settings of the client of the platform's store. */
export interface StoreSettings {
  readonly address: EndpointAddress;
  readonly timeoutMs: Millis;
}

/** The two record streams that a gateway daemon follows. */
export type FeedName = 'operator' | 'registrations';

/** Order of an operator to move a service's traffic to another version. */
export interface MoveOrder {
  readonly service: ServiceName;
  readonly targetVersion: string;
  readonly durationMs: Millis;
  /** Position of the order in its feed, which distinguishes two orders for one service. */
  readonly offset: number;
}

/** Record about an order to move a service to another version. */
export type MoveChange =
  | { readonly kind: 'move-ordered'; readonly order: MoveOrder }
  | { readonly kind: 'move-withdrawn'; readonly service: ServiceName };

/** One decoded record of a feed. */
export type RecordChange =
  | { readonly kind: 'configuration'; readonly configuration: ForwardingConfiguration }
  | { readonly kind: 'data-centre-out'; readonly dataCentre: DataCentreId }
  | { readonly kind: 'data-centre-in'; readonly dataCentre: DataCentreId }
  | MoveChange
  | { readonly kind: 'endpoint-registered'; readonly record: EndpointRecord }
  | { readonly kind: 'endpoint-removed'; readonly id: EndpointId }
  | { readonly kind: 'unreadable'; readonly key: string; readonly reason: string };

/** Whether the removal of a registration proves that its endpoint has stopped. */
export type RemovalCertainty =
  | { readonly kind: 'certain' }
  /**
   * The store was unavailable until `since`, so that registrations may have expired although their
   * endpoints run; those that run renew them by `until`. The removal of a registration that was
   * renewed after `since` is certain.
   */
  | { readonly kind: 'uncertain'; readonly since: Millis; readonly until: Millis };

/**
 * Number of the store's current copy of its records, which rises each time the store is restored
 * from an older copy; null when the store does not state it. Offsets are comparable only within one
 * epoch.
 */
export type StoreEpoch = number | null;

/** Position in a feed. */
export interface FeedPosition {
  readonly epoch: StoreEpoch;
  /** Offset of the next record to read. */
  readonly offset: number;
}

/** Where the answer to a read of a feed came from. */
interface FeedAnswer {
  readonly changes: readonly RecordChange[];
  /** Position after the changes, in the epoch of the answer. */
  readonly position: FeedPosition;
  /** Why the first connection was given up, if the answer came on a second one. */
  readonly replaced?: string;
}

/** Result of reading a feed. */
export type FeedResult =
  /** All current records; records that are missing from `changes` no longer exist. */
  | ({ readonly kind: 'loaded' } & FeedAnswer)
  | ({
      readonly kind: 'read';
      /** Number of records that the feed has beyond the position; 0 if not given. */
      readonly remaining?: number;
    } & FeedAnswer)
  /** The store does not have the records after the position. */
  | { readonly kind: 'expired'; readonly epoch: StoreEpoch }
  | {
      readonly kind: 'failed';
      readonly message: string;
      /** Time since the newest connection was opened on which the store did not answer. */
      readonly triedMs: Millis;
    };

/** Reads the feeds; a failed read is a result too. */
export interface FeedReader {
  readonly load: (feed: FeedName) => Promise<FeedResult>;
  readonly read: (feed: FeedName, position: FeedPosition, waitMs: Millis) => Promise<FeedResult>;
  readonly close: () => void;
}

/** Fields of an attempt's head that are not part of the caller's request. */
export interface AttemptHead {
  readonly endpointId: EndpointId;
  readonly customer: CustomerId | null;
  /** Priority at the endpoint, 0 is the most urgent; null for a service without engines. */
  readonly rank: number | null;
  /** Id of the last event that the caller received; null to start with the first event. */
  readonly lastEventId: string | null;
  /** Endpoint to which the generation's memory is replicated while it runs; null for none. */
  readonly backup: EndpointAddress | null;
  /** Copy of the generation's memory from which to resume; null to start from the beginning. */
  readonly copy: CopyReference | null;
}

/** Reference to a copy of a generation's memory. */
export type CopyReference =
  /** Replica that an endpoint keeps under the request's id. */
  | { readonly kind: 'backup'; readonly holder: EndpointAddress }
  /** Copy made by a transfer, under a handle that its source assigned. */
  | { readonly kind: 'transfer'; readonly source: EndpointAddress; readonly handle: string };

/** Result of an order to copy a running generation to another endpoint. */
export type TransferResult =
  /** The copy contains the given number of events. */
  | { readonly kind: 'copied'; readonly handle: string; readonly events: number }
  /**
   * The target did not have enough capacity. With a handle, the source has stopped the generation
   * and still has its memory.
   */
  | { readonly kind: 'no-room'; readonly handle: string | null }
  /** The source does not run the request. */
  | { readonly kind: 'not-running' }
  /** No connection was established, so the source has not received the order. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** Nothing listens at the address of the source: its process has ended, and its runs with it. */
  | { readonly kind: 'refused'; readonly message: string }
  | { readonly kind: 'failed'; readonly message: string };

/** Order to copy a generation to another endpoint. */
export interface TransferOrder {
  readonly requestId: string;
  readonly source: EndpointAddress;
  readonly target: EndpointAddress;
  /** `copy`: the source keeps running; `stop`: the source stops, and the target resumes. */
  readonly mode: 'copy' | 'stop';
}

/** What an engine's report says about the requests that it runs. */
export type ReportedRuns =
  | { readonly kind: 'stated'; readonly eventsByRequest: ReadonlyMap<string, number> }
  | { readonly kind: 'not-stated' };

/** Whether an engine is about to leave, as it or a peer reports. */
export interface PhaseReport {
  readonly phase: 'ready' | 'leaving';
}

/** State that an engine reports about itself, as of some hundred milliseconds ago. */
export interface EngineReport extends PhaseReport {
  readonly runs: ReportedRuns;
  /**
   * Number of requests that the engine has and does not list as runs: they are queued or preempted, or
   * wait for their first token. Null when the report does not state it.
   */
  readonly unlisted: number | null;
}

/** Outcome of reading the report of an engine. */
export type ReportAnswer =
  | { readonly kind: 'reported'; readonly report: EngineReport }
  /** No connection to the engine was established. */
  | { readonly kind: 'unreachable' }
  /** The engine took the connection, and gave no usable answer. */
  | { readonly kind: 'unanswered' };

/** What an engine says on a new connection about the run of one request. */
export type RunState =
  | Exclude<ReportAnswer, { kind: 'reported' }>
  /** The report does not say what the engine runs. */
  | { readonly kind: 'not-stated' }
  /** The engine does not run the request now. It may be among those that wait there. */
  | { readonly kind: 'not-running' }
  /** The engine does not have the request any more: it does not run it, and nothing waits there. */
  | { readonly kind: 'ended' }
  /** The run has made this number of events, as of some hundred milliseconds ago. */
  | { readonly kind: 'running'; readonly events: number };

/** Answer of an engine to a control call, and what the engine says of itself in it. */
export interface ControlAnswer<Value> {
  readonly value: Value;
  readonly statements: readonly EndpointStatement[];
}

/** Control commands to engines. */
export interface EngineControl {
  /** Reads the report of an engine on a new connection. */
  readonly readReport: (address: EndpointAddress) => Promise<ControlAnswer<ReportAnswer>>;
  readonly transfer: (order: TransferOrder) => Promise<ControlAnswer<TransferResult>>;
  /** Transfers a run whose connection is closed; the connection of the order has a short timeout. */
  readonly stopRun: (order: TransferOrder) => Promise<ControlAnswer<TransferResult>>;
  /** Frees a copy. A copy that is not freed expires. */
  readonly releaseCopy: (address: EndpointAddress, handle: string) => Promise<ControlAnswer<null>>;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values to forward, without headers that concern one connection only. */
  readonly headers: readonly string[];
  /** Id of the request that the answer names; null without one. */
  readonly requestId: string | null;
  readonly signature: 'signed' | 'unsigned';
  /** `not-run` when the endpoint states that it did not run the request. */
  readonly proof: 'not-run' | 'none';
  readonly encoding: 'plain' | 'encoded';
  /** Whether the answer has a length or chunks, or ends when its connection closes. */
  readonly framing: 'framed' | 'until-close';
}

/** Head of a caller's request. */
export type CallerHead = Omit<ForwardRequest, 'key' | 'body' | 'receivedAt'>;

/** Translates heads between the daemon's types and the HTTP headers of callers and endpoints. */
export interface HeadCodec {
  readonly decodeCaller: (
    method: string,
    path: string,
    rawHeaders: readonly string[],
  ) => CallerHead;
  /** Encodes the head of an attempt; `leftMs` is the time left until the deadline of the answer. */
  readonly encodeAttempt: (
    request: ForwardRequest,
    head: AttemptHead,
    leftMs: Millis,
  ) => readonly string[];
  readonly decodeAnswer: (status: number, rawHeaders: readonly string[]) => AnswerHead;
  /** Decodes what an endpoint says of itself; null when another endpoint has answered. */
  readonly decodeStatements: (
    status: number,
    rawHeaders: readonly string[],
  ) => readonly EndpointStatement[] | null;
  readonly isReadinessPath: (path: string) => boolean;
}

export type { GenerationDemand };
