import type { Millis } from '../core/clock.js';
import type {
  ClassName,
  CustomerId,
  GenerationId,
  Incarnation,
  Offset,
  RequestId,
} from '../core/ids.js';
import type { LoopEffect } from '../core/loop/effects.js';
import type { Failure } from '../core/verdict.js';

/** Identifies one open call of an entry daemon within this process. */
export type CallId = string;

export type Importance = 'critical' | 'standard' | 'background';

/** A request of an entry daemon to start or resume a generation. */
export interface GenerateCall {
  readonly callId: CallId;
  readonly format: number;
  readonly mode: 'start' | 'resume';
  readonly generationId: GenerationId;
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly className: ClassName;
  readonly route: string;
  readonly incarnation: Incarnation;
  readonly resumeFrom: number;
  readonly importance: Importance;
  /** Deadline on the clock of this process, from the time that was left at the receipt. */
  readonly deadlineAt: Millis;
  readonly promptTokens: number;
  readonly entry: string;
  /** Caller's stream at the entry daemon, and the number of its link to this generation. */
  readonly stream: string;
  readonly link: number;
  /** Set for a generation that must run at most once; equals the generation id. */
  readonly nonce: string | null;
  readonly body: Uint8Array;
}

export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A request of an entry daemon to run one call of the plain service. */
export interface ServiceCall {
  readonly callId: CallId;
  readonly format: number;
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly className: ClassName;
  readonly importance: Importance;
  readonly incarnation: Incarnation;
  /** Set for a call that must run at most once. */
  readonly nonce: string | null;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Deadline on the clock of this process, from the time that was left at the receipt. */
  readonly deadlineAt: Millis;
  readonly entry: string;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** A request of an entry daemon to fence a nonce. */
export interface FenceCall {
  readonly callId: CallId;
  readonly format: number;
  readonly nonce: string;
  readonly incarnation: Incarnation;
}

export type FenceResult = 'fenced' | 'started' | 'finished' | 'unknown-incarnation';

/** Health page of the engine or service. */
export interface EngineHealth {
  readonly status: 'warming' | 'ready' | 'failing';
  readonly startId: string;
}

/** Load page of the engine, whose figures describe the engine as it was `ageMs` ago. */
export interface EngineLoad {
  readonly startId: string;
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
  readonly memoryTotalTokens: number;
  readonly tokensPerSecond: number;
  readonly preemptions: number;
  readonly ageMs: Millis;
}

/** Change of the engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
  readonly at: Millis;
}

/** Entry daemon in the platform's instance list. */
export interface ListedEntry {
  readonly id: string;
  readonly dataCentre: string;
  readonly rpcUrl: string;
}

/** Record of the control stream that has not been parsed. */
export interface RawControlRecord {
  readonly offset: Offset;
  readonly at: Millis;
  readonly body: unknown;
}

/** Answer of an entry daemon to a heartbeat. */
export interface HeartbeatAnswer {
  readonly watermark: Offset;
  readonly records: readonly RawControlRecord[];
  readonly snapshot: unknown;
  readonly leaseMs: Millis;
}

/** Cumulative counters of one route and class since this process started. */
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

/** Identifies one piece of the endpoint's work: a generation id or a call id. */
export type WorkId = string;

/**
 * `failure` is an error response and `lost` a broken connection, as after a crash. `cancelled` work
 * includes bad requests that the endpoint refused, and does not count as evidence about its
 * version.
 */
export type WorkResult = 'success' | 'failure' | 'lost' | 'cancelled';

/** Outcome of one piece of work, used by the admission limit and as evidence about a version. */
export interface WorkOutcome {
  readonly workId: WorkId;
  readonly customer: CustomerId;
  readonly route: string;
  readonly className: ClassName;
  readonly result: WorkResult;
  readonly firstTokenMs: Millis | null;
  readonly tokenGapMsSum: Millis;
  readonly tokenGaps: number;
}

export type PlatformEvent =
  | { readonly to: 'platform'; readonly kind: 'poll' }
  | {
      readonly to: 'platform';
      readonly kind: 'list-received';
      readonly entries: readonly ListedEntry[];
      readonly self: 'live' | 'leaving' | 'absent';
    }
  | { readonly to: 'platform'; readonly kind: 'list-failed'; readonly reason: string };

export type EngineEvent =
  | { readonly to: 'engine'; readonly kind: 'poll' }
  | {
      readonly to: 'engine';
      readonly kind: 'health-received';
      readonly health: EngineHealth;
      /** When the page was requested; the page does not reflect work admitted after that. */
      readonly requestedAt: Millis;
    }
  | { readonly to: 'engine'; readonly kind: 'health-failed'; readonly reason: string }
  | { readonly to: 'engine'; readonly kind: 'load-received'; readonly load: EngineLoad }
  | {
      readonly to: 'engine';
      readonly kind: 'cache-events-received';
      readonly events: readonly CacheEvent[];
      readonly next: number;
    }
  | { readonly to: 'engine'; readonly kind: 'admit-generation'; readonly call: GenerateCall }
  | { readonly to: 'engine'; readonly kind: 'admit-call'; readonly call: ServiceCall }
  | {
      readonly to: 'engine';
      readonly kind: 'tokens-received';
      readonly workId: WorkId;
      readonly tokens: number;
      /** Mean time between the tokens. */
      readonly gapMs: Millis;
    }
  | { readonly to: 'engine'; readonly kind: 'work-ended'; readonly outcome: WorkOutcome }
  | { readonly to: 'engine'; readonly kind: 'restart-ramp' };

export type StreamsEvent =
  | { readonly to: 'streams'; readonly kind: 'open'; readonly call: GenerateCall }
  | {
      readonly to: 'streams';
      readonly kind: 'engine-chunks';
      readonly generationId: GenerationId;
      readonly choices: readonly string[];
    }
  | {
      readonly to: 'streams';
      readonly kind: 'engine-finished';
      readonly generationId: GenerationId;
      readonly usage: string;
    }
  | {
      readonly to: 'streams';
      readonly kind: 'engine-failed';
      readonly generationId: GenerationId;
      readonly failure: Failure;
    }
  | {
      readonly to: 'streams';
      readonly kind: 'reader-acknowledged';
      readonly callId: CallId;
      readonly nextNumber: number;
    }
  | { readonly to: 'streams'; readonly kind: 'reader-disconnected'; readonly callId: CallId }
  | {
      readonly to: 'streams';
      readonly kind: 'cancel';
      readonly generationId: GenerationId;
      readonly incarnation: Incarnation;
    }
  | { readonly to: 'streams'; readonly kind: 'sweep' };

export type CallsEvent =
  | { readonly to: 'calls'; readonly kind: 'open'; readonly call: ServiceCall }
  | {
      readonly to: 'calls';
      readonly kind: 'service-answered';
      readonly callId: CallId;
      readonly answer: ServiceAnswer;
    }
  | {
      readonly to: 'calls';
      readonly kind: 'service-failed';
      readonly callId: CallId;
      readonly failure: Failure;
    }
  | { readonly to: 'calls'; readonly kind: 'fence'; readonly call: FenceCall }
  | { readonly to: 'calls'; readonly kind: 'sweep' };

export type HeartbeatsEvent =
  /** The regular heartbeat is due. */
  | { readonly to: 'heartbeats'; readonly kind: 'heartbeat-due' }
  /** An extra heartbeat is due, to notify entry daemons of a change at once. */
  | { readonly to: 'heartbeats'; readonly kind: 'extra-heartbeat-due' }
  /** Checks the clock, so that a pause of the process ends the lease. */
  | { readonly to: 'heartbeats'; readonly kind: 'tick' }
  | {
      readonly to: 'heartbeats';
      readonly kind: 'acknowledged';
      /** Entry instance that answered. */
      readonly from: string;
      readonly sequence: number;
      readonly answer: HeartbeatAnswer;
    }
  | {
      readonly to: 'heartbeats';
      readonly kind: 'heartbeat-failed';
      readonly url: string;
      readonly reason: string;
    };

export type RpcEvent =
  | { readonly to: 'rpc'; readonly kind: 'generate-requested'; readonly call: GenerateCall }
  | { readonly to: 'rpc'; readonly kind: 'call-requested'; readonly call: ServiceCall }
  | { readonly to: 'rpc'; readonly kind: 'drain-started'; readonly reason: string }
  | { readonly to: 'rpc'; readonly kind: 'drain-checked'; readonly reads: 'due' | 'done' };

export type EndpointEvent =
  PlatformEvent | EngineEvent | StreamsEvent | CallsEvent | HeartbeatsEvent | RpcEvent;

/** Content of a heartbeat. */
export interface HeartbeatContent {
  readonly sequence: number;
  readonly engineStart: string;
  readonly phase: string;
  readonly limit: number;
  readonly load: EngineLoad;
  readonly prefixes: readonly string[];
  readonly prefixAgeMs: Millis;
  readonly prefixGaps: number;
  readonly evidence: readonly EvidenceCounters[];
  readonly configurationOffset: Offset;
}

export type EndpointEffect =
  | LoopEffect<EndpointEvent>
  | { readonly kind: 'fetch-list' }
  | { readonly kind: 'fetch-health' }
  | { readonly kind: 'fetch-load' }
  | { readonly kind: 'fetch-cache-events'; readonly from: number }
  | {
      readonly kind: 'start-generation';
      readonly generationId: GenerationId;
      readonly call: GenerateCall;
      /** Priority number, by which the engine preempts the classes whose stalls cost the least. */
      readonly priority: number;
    }
  | { readonly kind: 'cancel-generation'; readonly generationId: GenerationId }
  /** Pauses or resumes reading from the engine's connection. */
  | {
      readonly kind: 'set-engine-flow';
      readonly generationId: GenerationId;
      readonly flow: 'flowing' | 'paused';
    }
  /** Cancels the generations of the child's previous run and fails their readers. */
  | { readonly kind: 'reset-generations' }
  /** Fails the service calls of the child's previous run. */
  | { readonly kind: 'reset-calls' }
  | { readonly kind: 'send-started'; readonly callId: CallId }
  | {
      readonly kind: 'send-chunks';
      readonly callId: CallId;
      readonly firstNumber: number;
      readonly choices: readonly string[];
    }
  | {
      readonly kind: 'send-finished';
      readonly callId: CallId;
      readonly chunkCount: number;
      readonly usage: string;
      /** Digest of the answer if the generation must run at most once, otherwise empty. */
      readonly digest: string;
    }
  | { readonly kind: 'send-failure'; readonly callId: CallId; readonly failure: Failure }
  | { readonly kind: 'call-service'; readonly call: ServiceCall }
  | { readonly kind: 'reply-answer'; readonly callId: CallId; readonly answer: ServiceAnswer }
  | { readonly kind: 'reply-failure'; readonly callId: CallId; readonly failure: Failure }
  | {
      readonly kind: 'reply-fence';
      readonly callId: CallId;
      readonly result: FenceResult;
      readonly answer: ServiceAnswer | null;
    }
  | {
      readonly kind: 'send-heartbeat';
      /** Entry instance that the heartbeat is sent to. */
      readonly to: string;
      readonly url: string;
      readonly content: HeartbeatContent;
    }
  | { readonly kind: 'end-process'; readonly left: number };
