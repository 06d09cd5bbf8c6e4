import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { Importance } from '../placement/types.js';

/** A request that waits for an endpoint. */
export interface WaitingRequest {
  readonly requestId: RequestId;
  readonly className: ClassName;
  readonly importance: Importance;
  /** Model or service; requests for different ones do not wait for each other. */
  readonly resource: string;
  readonly customer: CustomerId;
  /** Share of the customer relative to others; positive. */
  readonly weight: number;
  /** Cost in tokens, predicted by the length estimates. */
  readonly predictedTokens: number;
  readonly enqueuedAt: Millis;
  /** Instant after which a start can no longer meet the caller's deadline. */
  readonly latestStartAt: Millis;
}

/** Requests of one customer in one lane, in order of arrival. */
export interface CustomerQueue {
  readonly customer: CustomerId;
  readonly weight: number;
  /** Virtual time at which the first request may start, or at which the last served one ended. */
  readonly startTag: number;
  readonly waiting: readonly WaitingRequest[];
}

/** Requests of one class for one model or service. */
export interface Lane {
  readonly className: ClassName;
  readonly importance: Importance;
  readonly resource: string;
  /** Start tag of the request served last. */
  readonly virtualTime: number;
  /** Waiting requests of all customers. */
  readonly count: number;
  readonly customers: ReadonlyMap<CustomerId, CustomerQueue>;
}

/** Bounds of the queue. */
export interface QueueSettings {
  /** Waiting requests of all classes. */
  readonly maxWaiting: number;
  /** Waiting requests of one class. */
  readonly maxWaitingPerClass: number;
  /** Advice to refused callers. */
  readonly retryAfterMs: Millis;
}

export interface QueueState {
  readonly settings: QueueSettings;
  readonly lanes: ReadonlyMap<string, Lane>;
}

export type QueueEvent =
  | { readonly kind: 'enqueue'; readonly request: WaitingRequest }
  /** An endpoint was found for a waiting request. */
  | { readonly kind: 'take'; readonly requestId: RequestId }
  | { readonly kind: 'cancel'; readonly requestId: RequestId }
  | { readonly kind: 'tick'; readonly now: Millis }
  /** A served request ended; the difference to its prediction is charged to its customer. */
  | {
      readonly kind: 'settle';
      readonly request: WaitingRequest;
      readonly actualTokens: number;
    };

export type QueueEffect =
  | { readonly kind: 'queued'; readonly requestId: RequestId }
  | { readonly kind: 'serve'; readonly request: WaitingRequest }
  | { readonly kind: 'refuse'; readonly requestId: RequestId; readonly failure: Failure };
