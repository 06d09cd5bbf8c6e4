import type { Millis } from '../core/clock.js';
import type {
  ClassName,
  CustomerId,
  DataCentreId,
  EndpointId,
  GenerationId,
  Incarnation,
  ModelName,
  Offset,
  RequestId,
  VersionName,
} from '../core/ids.js';

export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** Fields that all requests of callers have in common. */
interface CallerRequestBase {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  /** Class that the caller requested, or null for the default. */
  readonly className: ClassName | null;
  readonly receivedAt: Millis;
  /** Hash of the content, the same for each retry of the request by its caller. */
  readonly fingerprint: string;
  /** Hashes of the messages that other prompts can have, too: all but the last. */
  readonly parts: readonly string[];
}

/** Form in which the caller receives a generation. */
export type AnswerForm =
  { readonly kind: 'whole' } | { readonly kind: 'stream'; readonly usage: 'included' | 'left-out' };

export interface GenerationRequest extends CallerRequestBase {
  readonly kind: 'generation';
  readonly model: ModelName;
  readonly form: AnswerForm;
  /** Estimated number of tokens in the prompt. */
  readonly promptTokens: number;
  /** Limit on the output that the caller set, or null. */
  readonly maxTokens: number | null;
  /** Hash that identifies the cached prefix of the prompt. */
  readonly prefix: string;
  /** JSON body for the engine. */
  readonly body: Uint8Array;
  readonly key: string | null;
  readonly keyIssuedAt: Millis | null;
}

/** Request to resume a stream whose connection was lost. */
export interface ResumeRequest extends CallerRequestBase {
  readonly kind: 'resume';
  readonly generationId: GenerationId;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  /** Number of the last chunk that the caller received. */
  readonly lastNumber: number;
}

export interface ServiceRequest extends CallerRequestBase {
  readonly kind: 'service';
  readonly service: string;
  readonly method: string;
  /** Path and query below the service's base. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Whether the call may run more than once. */
  readonly repeat: 'allowed' | 'never';
  /** Class of the route, or null when the route has none. */
  readonly routeClass: ClassName | null;
  readonly key: string | null;
  readonly keyIssuedAt: Millis | null;
}

export type CallerRequest = GenerationRequest | ResumeRequest | ServiceRequest;

export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Version of the model that its newest move selects for a request. */
export interface VersionChoice {
  readonly version: VersionName;
  /** Version to use when no endpoint of `version` accepts work; null when the request waits. */
  readonly fallback: VersionName | null;
}

/** Decoded heartbeat of an endpoint daemon. */
export interface ReceivedHeartbeat {
  readonly endpoint: EndpointId;
  readonly instance: string;
  readonly dataCentre: DataCentreId;
  readonly incarnation: Incarnation;
  /** Start identity of the engine or service that the endpoint daemon serves. */
  readonly engineStart: string;
  readonly sequence: number;
  readonly phase: string;
  readonly rpcUrl: string;
  readonly httpUrl: string;
  readonly model: ModelName | null;
  readonly version: VersionName;
  readonly service: string | null;
  readonly load: {
    readonly limit: number;
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsedTokens: number;
    readonly memoryTotalTokens: number;
    readonly tokensPerSecond: number;
    readonly preemptions: number;
    readonly prefixes: readonly string[];
    readonly ageMs: Millis;
    readonly prefixAgeMs: Millis;
    readonly prefixGaps: number;
  };
  readonly evidence: readonly EvidenceCounters[];
  readonly configurationOffset: Offset;
}

/** Cumulative counters of one route and class since the start of an endpoint daemon. */
export interface EvidenceCounters {
  readonly route: string;
  readonly className: ClassName;
  readonly successes: number;
  readonly failures: number;
  readonly slow: number;
  readonly firstTokenMsSum: Millis;
  readonly tokenGapMsSum: Millis;
  readonly tokenGaps: number;
}

/** Instance in the platform's instance list. */
export interface ListedInstance {
  readonly id: string;
  readonly role: 'entry' | 'endpoint';
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
  readonly rpcUrl: string;
  readonly httpUrl: string;
}

/** Answer to a heartbeat: the lease, and the configuration that the endpoint daemon lacks. */
export interface HeartbeatReply {
  readonly watermark: Offset;
  readonly records: readonly {
    readonly offset: Offset;
    readonly at: Millis;
    readonly body: unknown;
  }[];
  readonly snapshot: unknown;
  readonly leaseMs: Millis;
}
