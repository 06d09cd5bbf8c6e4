import type { Millis } from '../../core/clock.js';
import type { CustomerId, DataCentreId, EndpointId } from '../../core/ids.js';

export type ServiceName = string;

/** Whether a request may be sent again after it may have run: `once` requests run at most once. */
export type RetryPolicy = 'idempotent' | 'once';

/** How an answer is delivered: as one body, or as events that are forwarded on arrival. */
export type AnswerShape = 'whole' | 'stream';

/** Whether another endpoint can resume a stream after a given event. */
export type ResumePolicy = 'resumable' | 'single-run';

/** Service that receives a share of a route's traffic, in proportion to its weight. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** How requests for one host and path prefix are forwarded. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly answer: AnswerShape;
  readonly repeat: RetryPolicy;
  readonly resume: ResumePolicy;
  /** Time from the arrival of a request within which its answer has to be complete. */
  readonly timeoutMs: Millis;
  /** Latency target of a whole answer, or of the first event of a stream. */
  readonly targetMs: Millis;
  /** Target for the longest gap between two events of a stream; null without one. */
  readonly gapTargetMs: Millis | null;
  /** Maximum number of endpoints at which one request may run. */
  readonly maxEndpoints: number;
  /** Priority of the requests; 0 is the most urgent. */
  readonly rank: number;
  readonly access: 'public' | 'keyed';
  readonly targets: readonly RouteTarget[];
}

/** Properties of the model engines of a service. */
export interface EngineTraits {
  readonly slots: number;
  /** Capacity in tokens that running requests and cached prompts of one engine share. */
  readonly memoryTokens: number;
  /** Output tokens in each event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether an engine can replicate a running generation to another engine. */
  readonly backups: 'supported' | 'unsupported';
  /** Whether a running generation can be transferred to another engine. */
  readonly moves: 'supported' | 'unsupported';
}

export interface Service {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly maxConnections: number;
  /** Maximum number of requests per second to a cold endpoint; 0 means no limit. */
  readonly coldPerSecond: number;
  readonly engine: EngineTraits | null;
}

/** A customer and the API keys that identify its requests. */
export interface Customer {
  readonly name: CustomerId;
  readonly keys: readonly string[];
  /** Priority that overrides that of the route; null without one. */
  readonly rank: number | null;
}

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** A complete configuration; one with a higher version replaces it. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Customers with their keys; null when requests need no key. */
  readonly customers: readonly Customer[] | null;
}

export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** An endpoint's registration. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: EndpointAddress;
  readonly dataCentre: DataCentreId;
  readonly version: string;
  readonly slots: number;
  readonly phase: 'ready' | 'leaving';
  /** Time from the receipt of the record during which the endpoint counts as cold; 0 when warm. */
  readonly coldForMs: Millis;
  /** Start time by the endpoint's own clock; it distinguishes two incarnations under one id. */
  readonly startedAt: Millis | null;
  /** Number of the record among those of its incarnation, which rises with each; null without one. */
  readonly sequence: number | null;
}

/** What distinguishes an incarnation of an endpoint from all others, and its service. */
export type EndpointIncarnation = Pick<EndpointRecord, 'id' | 'service' | 'startedAt' | 'address'>;

/** Resources that a generation needs on an engine. */
export interface GenerationDemand {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; often wrong. */
  readonly expectedOutputTokens: number | null;
}

/** A request as received from a caller, without the headers that the gateway sets itself. */
export interface ForwardRequest {
  /** Number that is unique within this process; `id` is the caller's request id. */
  readonly key: number;
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Alternating header names and values, in the caller's order and spelling. */
  readonly headers: readonly string[];
  /** Parts of the body, in order; none without a body. */
  readonly body: readonly Uint8Array[];
  readonly credential: string | null;
  /** The caller's timeout, counted from `receivedAt`; null when it sent none. */
  readonly callerTimeoutMs: Millis | null;
  readonly demand: GenerationDemand | null;
  /** Ids of the parts of the prompt, in order; the last part belongs to this request alone. */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller received of an earlier answer; null for a new request. */
  readonly lastEventId: string | null;
  readonly receivedAt: Millis;
}
