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
import type { DeliveryState } from '../../decisions/streams/types.js';
import type { WaitingQueue } from './waitingQueue.js';
import type { GenerationRequest, ResumeRequest, ServiceRequest } from '../types.js';

/** What operators published for a class, or the defaults. */
export type ClassPolicy = PublishedClass;

/** Endpoint that holds a request now. */
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

/** What every request in progress carries, whatever its kind. */
export interface RequestBase {
  readonly policy: ClassPolicy;
  readonly deadlineAt: Millis;
  /** Endpoints that failed or refused this request since it last waited in the queue. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Attempts that reached an endpoint daemon. */
  readonly attempts: number;
  /** Refusals of endpoint daemons that had less room than their last report said. */
  readonly refusals: number;
  readonly placement: RequestPlacement | null;
  readonly waiting: 'in-queue' | 'for-retry' | 'held' | 'no';
  /** Why the last attempt failed, for the caller when the deadline passes. */
  readonly lastFailureReason: string;
  /** What the ended attempts prove together; a keyed call's intent knows more. */
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

/** A request that runs at most once. */
export interface KeyedState extends RequestBase {
  readonly kind: 'keyed';
  readonly request: ServiceRequest | GenerationRequest;
  readonly key: string;
  readonly intent: IntentState;
  /** Stream of a dispatched generation; null before the dispatch, after it and for calls. */
  readonly stream: GenerationState | null;
  /** `served` once the caller has its answer or failure and only records are left. */
  readonly caller: 'waiting' | 'served';
}

export type RequestState = GenerationState | CallState | KeyedState;

/**
 * Requests of this daemon. The map is owned by the `requests` child and updated in place, since
 * thousands of streams change it many times a second.
 */
export interface RequestsState {
  readonly table: Map<RequestId, RequestState>;
  readonly queue: WaitingQueue;
  phase: 'accepting' | 'handing-over';
}

export type ClassLookup =
  | { readonly kind: 'found'; readonly policy: ClassPolicy }
  | { readonly kind: 'unknown'; readonly className: ClassName };
