import type { Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId, EndpointId } from '../core/ids.js';
import type { RetryBudgetSettings } from '../decisions/forwarding/retryBudget.js';
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
  /** Address on which callers connect. */
  readonly callers: EndpointAddress;
  /** Address on which the platform asks whether the daemon is ready. */
  readonly readiness: EndpointAddress;
  /** Address for datagrams of other gateway daemons. */
  readonly peers: EndpointAddress;
  readonly metrics: EndpointAddress;
  readonly store: StoreSettings;
  readonly live: LiveSettings;
}

/** Settings that a running daemon takes over when its file changes. */
export interface LiveSettings {
  /** Hosts of gateway daemons to begin with; some may be gone. */
  readonly seeds: readonly string[];
  readonly budget: RetryBudgetSettings;
  /** Time from the order to stop until the process is killed. */
  readonly graceMs: Millis;
  /** Factor of the bound on requests to a cold endpoint. */
  readonly coldOvershoot: number;
  readonly learnWithin: StalenessLimits;
}

/** Times within which a daemon has to know what was published. */
export interface StalenessLimits {
  /** That an endpoint leaves. */
  readonly leavingMs: Millis;
  /** Time after a disturbance of its connections from which the others hold. */
  readonly outageMs: Millis;
}

/** The platform's store as its client needs it. */
export interface StoreSettings {
  readonly address: EndpointAddress;
  readonly timeoutMs: Millis;
}

/** The two streams of records that a gateway follows. */
export type FeedName = 'operator' | 'registrations';

/** Order to move a service's traffic to another version. */
export interface MoveOrder {
  readonly service: ServiceName;
  readonly targetVersion: string;
  readonly durationMs: Millis;
  /** Position of the order, which tells two orders for one service apart. */
  readonly offset: number;
}

/** One decoded record of a feed. */
export type RecordChange =
  | { readonly kind: 'configuration'; readonly configuration: ForwardingConfiguration }
  | { readonly kind: 'data-centre-out'; readonly dataCentre: DataCentreId }
  | { readonly kind: 'data-centre-in'; readonly dataCentre: DataCentreId }
  | { readonly kind: 'move-ordered'; readonly order: MoveOrder }
  | { readonly kind: 'move-withdrawn'; readonly service: ServiceName }
  | { readonly kind: 'endpoint-registered'; readonly record: EndpointRecord }
  | { readonly kind: 'endpoint-removed'; readonly id: EndpointId }
  | { readonly kind: 'unreadable'; readonly key: string; readonly reason: string };

/** What the removal of a registration says. */
export type RemovalCertainty =
  | { readonly kind: 'certain' }
  /**
   * The store was away until `since`, and registrations may have lapsed meanwhile. One that was
   * written after that and is removed again is gone.
   */
  | { readonly kind: 'uncertain'; readonly since: Millis };

/** Result of reading a feed. */
export type FeedResult =
  | {
      /** All current records; what is not among them does not exist. */
      readonly kind: 'loaded';
      readonly changes: readonly RecordChange[];
      readonly position: number;
    }
  | { readonly kind: 'read'; readonly changes: readonly RecordChange[]; readonly position: number }
  /** The records after the position are no longer kept. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly message: string };

/** Access to the feeds; results come as completions. */
export interface FeedReader {
  readonly load: (feed: FeedName) => Promise<FeedResult>;
  readonly read: (feed: FeedName, position: number, waitMs: Millis) => Promise<FeedResult>;
  readonly close: () => void;
}

/** Head of an attempt, apart from what the caller's request already holds. */
export interface AttemptHead {
  readonly endpointId: EndpointId;
  /** Time that is left for the answer. */
  readonly leftMs: Millis;
  readonly customer: CustomerId | null;
  /** Urgency at the endpoint, 0 first; null for a service without engines. */
  readonly rank: number | null;
  /** Last event that the caller has; null to begin with the first one. */
  readonly lastEventId: string | null;
  /** Endpoint that is to keep a growing copy of the generation. */
  readonly backup: EndpointAddress | null;
  /** Copy of the generation's memory to go on from. */
  readonly copy: CopyName | null;
}

/** Name of a copy of a generation's memory. */
export type CopyName =
  /** Kept at an endpoint under the request's own id. */
  | { readonly kind: 'backup'; readonly holder: EndpointAddress }
  /** Made by a transfer, and named by its source. */
  | { readonly kind: 'transfer'; readonly source: EndpointAddress; readonly handle: string };

/** How an order to copy a running generation to another endpoint ended. */
export type TransferResult =
  /** The copy is complete up to a number of events. */
  | { readonly kind: 'copied'; readonly handle: string; readonly events: number }
  /** The target had no room; with a handle, the source stopped and keeps the memory. */
  | { readonly kind: 'no-room'; readonly handle: string | null }
  /** The source runs no such request. */
  | { readonly kind: 'not-running' }
  | { readonly kind: 'failed'; readonly message: string };

/** One order to copy a generation. */
export interface TransferOrder {
  readonly requestId: string;
  readonly source: EndpointAddress;
  readonly target: EndpointAddress;
  /** `copy`: the source runs on; `stop`: it stops first, and the target goes on. */
  readonly mode: 'copy' | 'stop';
}

/** What an engine says of itself. */
export interface EngineReport {
  readonly phase: 'ready' | 'leaving';
}

/** Orders to engines. */
export interface EngineControl {
  readonly readReport: (address: EndpointAddress) => Promise<EngineReport | null>;
  readonly transfer: (order: TransferOrder) => Promise<TransferResult>;
  /** Frees a copy. One that cannot be freed lapses by itself, so nothing waits for the answer. */
  readonly releaseCopy: (address: EndpointAddress, handle: string) => Promise<void>;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn that the caller gets, without those of one connection. */
  readonly headers: readonly string[];
  /** Id of the request to which the endpoint says it belongs; null without one. */
  readonly requestId: string | null;
  readonly signature: 'signed' | 'unsigned';
  /** Whether the endpoint states that it did not run the request. */
  readonly proof: 'not-run' | 'none';
  readonly encoding: 'plain' | 'encoded';
  /** Whether the answer states its end, or ends with its connection. */
  readonly framing: 'framed' | 'until-close';
}

/** Head of a caller's request. */
export type CallerHead = Omit<ForwardRequest, 'key' | 'body' | 'receivedAt'>;

/** Translation of heads between the product and what callers and endpoints speak. */
export interface HeadCodec {
  readonly decodeCaller: (
    method: string,
    path: string,
    rawHeaders: readonly string[],
  ) => CallerHead;
  readonly encodeAttempt: (request: ForwardRequest, head: AttemptHead) => readonly string[];
  readonly decodeAnswer: (status: number, rawHeaders: readonly string[]) => AnswerHead;
  readonly isReadinessPath: (path: string) => boolean;
}

export type { GenerationDemand };
