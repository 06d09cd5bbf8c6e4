import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { Importance } from '../placement/types.js';

/** A request that waits for an endpoint. */
export interface WaitingRequest {
  readonly requestId: RequestId;
  readonly className: ClassName;
  readonly importance: Importance;
  /** Model or service; requests for different resources do not wait for each other. */
  readonly resource: string;
  readonly customer: CustomerId;
  /** Weight of the customer in the fair share; positive. */
  readonly weight: number;
  /** Cost in tokens as predicted by the length estimates. */
  readonly predictedTokens: number;
  readonly enqueuedAt: Millis;
  /** Instant after which a start is too late for the caller's deadline. */
  readonly latestStartAt: Millis;
}

/** Requests of one customer in one lane, in order of arrival. */
export interface CustomerQueue {
  readonly customer: CustomerId;
  readonly weight: number;
  /** Start tag of the first waiting request; when none waits, finish tag of the last served one. */
  readonly startTag: number;
  readonly waiting: readonly WaitingRequest[];
}

/** Waiting requests of one class for one model or service. */
export interface Lane {
  readonly className: ClassName;
  readonly importance: Importance;
  readonly resource: string;
  /** Virtual time of the lane: start tag of the request served last. */
  readonly virtualTime: number;
  /** Number of waiting requests of all customers. */
  readonly count: number;
  readonly customers: ReadonlyMap<CustomerId, CustomerQueue>;
}

/** Bounds of the queue, and the retry delay sent to refused callers. */
export interface QueueSettings {
  /** Maximum number of waiting requests of all classes. */
  readonly maxWaiting: number;
  /** Maximum number of waiting requests of one class. */
  readonly maxWaitingPerClass: number;
  /** Delay after which refused callers should retry. */
  readonly retryAfterMs: Millis;
}

/** Waiting requests of one daemon by lane key. */
export interface QueueState {
  readonly settings: QueueSettings;
  readonly lanes: ReadonlyMap<string, Lane>;
}

export type QueueEvent =
  | { readonly kind: 'enqueue'; readonly request: WaitingRequest }
  /** A waiting request was placed at an endpoint. */
  | { readonly kind: 'dequeue'; readonly requestId: RequestId }
  | { readonly kind: 'cancel'; readonly requestId: RequestId }
  | { readonly kind: 'tick'; readonly now: Millis }
  /** A served request ended; its customer is charged the difference from the prediction. */
  | {
      readonly kind: 'settle';
      readonly request: WaitingRequest;
      readonly actualTokens: number;
    };

export type QueueEffect =
  | { readonly kind: 'queued'; readonly requestId: RequestId }
  | { readonly kind: 'serve'; readonly request: WaitingRequest }
  | { readonly kind: 'refuse'; readonly requestId: RequestId; readonly failure: Failure };
