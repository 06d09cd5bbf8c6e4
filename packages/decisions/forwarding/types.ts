import type { Millis } from '../../core/clock.js';
import type { CustomerId, DataCentreId, EndpointId } from '../../core/ids.js';

export type ServiceName = string;

/** What may be repeated: `once` runs at most one time for each request of a caller. */
export type RepeatRule = 'idempotent' | 'once';

/** How an answer is delivered: as one body, or as events that are passed on as they come. */
export type AnswerShape = 'whole' | 'stream';

/** Whether another endpoint may go on with a stream after a given event. */
export type ResumeRule = 'resumable' | 'single-run';

/** One part of a route's traffic. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Rule for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly answer: AnswerShape;
  readonly repeat: RepeatRule;
  readonly resume: ResumeRule;
  /** Longest time that a caller is kept waiting for the end of the answer. */
  readonly timeoutMs: Millis;
  /** Time within which an answer, or the first event of a stream, is on time. */
  readonly targetMs: Millis;
  /** Longest pause between events of a stream that is on time. */
  readonly gapTargetMs: Millis | null;
  /** Endpoints to which one request may be sent. */
  readonly maxEndpoints: number;
  /** Rank among requests; 0 is the most urgent. */
  readonly rank: number;
  readonly access: 'public' | 'keyed';
  readonly targets: readonly RouteTarget[];
}

/** Properties of the model engines of a service. */
export interface EngineTraits {
  readonly slots: number;
  /** Tokens that running requests and cached prompts of one engine share. */
  readonly memoryTokens: number;
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Whether an engine sends a growing copy of a generation to another. */
  readonly backups: 'supported' | 'unsupported';
  /** Whether a running generation can be taken to another engine. */
  readonly moves: 'supported' | 'unsupported';
}

export interface Service {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly maxConnections: number;
  /** Requests a second that a cold endpoint bears; 0 without a bound. */
  readonly coldPerSecond: number;
  readonly engine: EngineTraits | null;
}

/** A customer and the keys that its requests carry. */
export interface Customer {
  readonly name: CustomerId;
  readonly keys: readonly string[];
  /** Rank that goes before that of the route. */
  readonly rank: number | null;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One whole configuration; a higher version replaces it. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Null when requests need no key. */
  readonly customers: readonly Customer[] | null;
}

export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** An endpoint as it registered itself. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: EndpointAddress;
  readonly dataCentre: DataCentreId;
  readonly version: string;
  readonly slots: number;
  readonly phase: 'ready' | 'leaving';
  readonly coldForMs: Millis;
  /** Instant of the endpoint's start by its own clock, to tell two lives under one id apart. */
  readonly startedAt: Millis | null;
}

/** What a generation asks of an engine. */
export interface GenerationDemand {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; often wrong. */
  readonly expectedOutputTokens: number | null;
}

/** A request as a caller sent it, without the headers that are the system's to set. */
export interface ForwardRequest {
  /** Number within this process; the caller's own id is `id`. */
  readonly key: number;
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Names and values in turn, in the caller's order and spelling. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly credential: string | null;
  /** Time that the caller waits, counted from `receivedAt`; null when it sent none. */
  readonly patienceMs: Millis | null;
  readonly demand: GenerationDemand | null;
  /** Last event that the caller has of an earlier answer. */
  readonly lastEventId: string | null;
  readonly receivedAt: Millis;
}
