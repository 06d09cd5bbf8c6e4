import type { Millis } from '../../core/clock.js';
import type {
  ClassName,
  EndpointId,
  Incarnation,
  ModelName,
  RequestId,
  VersionName,
} from '../../core/ids.js';
import type { Verdict } from '../../core/verdict.js';
import type { PublishedClass } from '../../decisions/configuration/types.js';
import type { IntentState } from '../../decisions/idempotency/types.js';
import type { SendPurpose } from '../../decisions/retries/types.js';
import type { DeliveryState } from '../../decisions/streams/types.js';
import type { WaitingQueue } from './waitingQueue.js';
import type { GenerationRequest, ResumeRequest, ServiceRequest } from '../types.js';

/** Policy of a class: the one that operators published, or the default. */
export type ClassPolicy = PublishedClass;

/** Endpoint on which a request is placed. */
export interface RequestPlacement {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  /** Start identity of the engine or service itself. */
  readonly engineStart: string;
  readonly url: string;
  readonly model: ModelName;
  readonly version: VersionName;
  readonly placedAt: Millis;
}

/** State that requests of all kinds have in common. */
export interface RequestBase {
  readonly policy: ClassPolicy;
  readonly deadlineAt: Millis;
  /** Endpoints that failed or refused this request since it last waited in the queue. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Attempts that reached an endpoint daemon. */
  readonly attempts: number;
  /** Refusals by endpoint daemons, for instance because one had less capacity than it reported. */
  readonly refusals: number;
  readonly placement: RequestPlacement | null;
  readonly waiting: 'in-queue' | 'for-retry' | 'held' | 'no';
  /** Why the next attempt is sent, which decides whether it is charged to the retry budget. */
  readonly purpose: SendPurpose;
  /** Why the last attempt or placement failed; reported to the caller when the deadline passes. */
  readonly lastFailureReason: string;
  /**
   * Combined verdict of the ended attempts; a keyed request uses the verdict of its intent instead.
   */
  readonly verdict: Verdict;
}

export interface GenerationState extends RequestBase {
  readonly kind: 'generation';
  readonly request: GenerationRequest | ResumeRequest;
  readonly delivery: DeliveryState;
  readonly firstChunkAt: Millis | null;
  readonly lastChunkAt: Millis | null;
}

export interface CallState extends RequestBase {
  readonly kind: 'call';
  readonly request: ServiceRequest;
}

/** A request that runs at most once for its idempotency key. */
export interface KeyedState extends RequestBase {
  readonly kind: 'keyed';
  readonly request: ServiceRequest | GenerationRequest;
  readonly key: string;
  readonly intent: IntentState;
  /** Stream of a dispatched generation; null before the dispatch, after it and for calls. */
  readonly stream: GenerationState | null;
  /**
   * `served` once the caller received its answer or failure and only records are left to append.
   */
  readonly caller: 'waiting' | 'served';
}

export type RequestState = GenerationState | CallState | KeyedState;

/**
 * Requests in progress at this daemon. The map is owned by the `requests` child and mutated in
 * place, since thousands of streams change it many times a second.
 */
export interface RequestsState {
  readonly table: Map<RequestId, RequestState>;
  readonly queue: WaitingQueue;
  phase: 'accepting' | 'handing-over';
}

export type ClassLookup =
  | { readonly kind: 'found'; readonly policy: ClassPolicy }
  | { readonly kind: 'unknown'; readonly className: ClassName };
