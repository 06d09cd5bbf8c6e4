import type { Millis } from '../../core/clock.js';
import type {
  ClassName,
  CustomerId,
  DataCentreId,
  EndpointId,
  Incarnation,
  ModelName,
  RequestId,
  VersionName,
} from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { MemoryChange } from '../survival/forecast.js';

/** Lifecycle phase of an endpoint, as tracked by membership. */
export type EndpointPhase = 'starting' | 'ramping' | 'serving' | 'draining' | 'suspect' | 'gone';

/** Priority of a class when capacity does not suffice for all requests. */
export type Importance = 'critical' | 'standard' | 'background';

/** Expected answer length of a class; short answers never wait behind long ones. */
export type AnswerLength = 'short' | 'long';

/** The part of a request class's published configuration that placement uses. */
export interface ClassTargets {
  readonly className: ClassName;
  readonly importance: Importance;
  readonly answerLength: AnswerLength;
  /** Highest accepted probability of a memory overflow; defaults to the policy's value. */
  readonly overflowProbability?: number;
  /** Cost of a stall relative to other classes; defaults to a weight by importance and length. */
  readonly stallWeight?: number;
}

/** Model or service that a request needs. */
export type PlacementTarget =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      /** Version that a move assigns to the request; any version when absent. */
      readonly version?: VersionName;
    }
  | { readonly kind: 'service'; readonly service: string };

/** State of an endpoint at its last heartbeat. */
export interface EndpointView {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  /** Set for model engines. */
  readonly model?: ModelName;
  readonly version?: VersionName;
  /** Set for plain services. */
  readonly service?: string;
  readonly phase: EndpointPhase;
  /** Concurrency limit: the number of sequences that may run now. */
  readonly limit: number;
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
  /** 0 for plain services. */
  readonly memoryTotalTokens: number;
  readonly tokensPerSecond: number;
  /** Age of the load report. */
  readonly loadAgeMs: Millis;
  /** Hashes of the prompt prefixes in the engine's cache. */
  readonly prefixes: ReadonlySet<string>;
  /** Age of the newest cache event. */
  readonly prefixAgeMs: Millis;
  /** Number of cache events known to be lost. */
  readonly prefixGaps: number;
  readonly preemptions: number;
}

/** Whether the endpoint's last load report includes a placement. */
export type ReportState = 'included' | 'not-included';

/** An in-flight request that this daemon placed. */
export interface LocalPlacement {
  readonly requestId: RequestId;
  readonly endpoint: EndpointId;
  readonly className: ClassName;
  readonly customer: CustomerId;
  readonly version: VersionName;
  readonly promptTokens: number;
  readonly generated: number;
  readonly report: ReportState;
  readonly placedAt: Millis;
}

/** Totals of this daemon's placements at one endpoint. */
export interface LocalLoad {
  /** Placements that the last load report includes. */
  readonly includedCount: number;
  readonly includedTokens: number;
  /** Placements since the last load report. */
  readonly newCount: number;
  readonly newTokens: number;
  /** Placements that ended since the last load report, which still includes them. */
  readonly endedCount: number;
  readonly endedTokens: number;
  /**
   * Lower bound on the endpoint's requests, known from its last refusal for lack of capacity; 0
   * without a recent one.
   */
  readonly requestsAtRefusal: number;
  /** Predicted change of memory use by the in-flight placements. */
  readonly change: MemoryChange;
}

/** Read-only view of this daemon's table of placements. */
export interface PlacementTableView {
  /** Returns the number of placements made so far, which round-robin uses as its position. */
  readonly getPlacementCount: () => number;
  readonly getLoad: (endpoint: EndpointId) => LocalLoad | undefined;
}

/** A request to be placed on an endpoint. */
export interface PlacementRequest {
  readonly requestId: RequestId;
  readonly target: PlacementTarget;
  readonly customer: CustomerId;
  readonly targets: ClassTargets;
  readonly promptTokens: number;
  readonly prefix?: string;
  /** Data centre of the entry daemon that places the request. */
  readonly dataCentre: DataCentreId;
  /** Endpoints that already failed or refused this request. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** The only endpoint that may serve the request. */
  readonly pinned?: EndpointId;
}

/** How an endpoint is chosen among those that may serve a request. */
export type PlacementPolicy =
  | { readonly kind: 'round-robin' }
  | { readonly kind: 'least-requests' }
  | {
      readonly kind: 'predicted-headroom';
      /** Number of suitable endpoints to compare for one request. */
      readonly choices: number;
      readonly horizonMs: Millis;
      /** Highest accepted probability that memory overflows within the horizon. */
      readonly overflowProbability: number;
      /** Score bonus of a freshly cached prompt prefix, as a share of memory. */
      readonly prefixWeight: number;
    };

/** Why an endpoint was chosen. */
export type PlacementReason =
  | 'pinned'
  | 'next-in-turn'
  | 'fewest-requests'
  | 'shortest-wait'
  | 'most-headroom'
  | 'prefix-cached'
  | 'same-data-centre';

/** An endpoint compared in a decision; scores are comparable only within one decision. */
export interface PlacementCandidate {
  readonly endpoint: EndpointId;
  readonly score: number;
  readonly requests: number;
  readonly overflowProbability: number;
  readonly headroom: number;
}

/** Why a request cannot be placed yet. */
export type WaitReason = 'at-limit' | 'memory-full' | 'pinned-endpoint-busy';

export type PlacementDecision =
  | {
      readonly kind: 'place';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation;
      readonly reasons: readonly PlacementReason[];
      readonly candidates: readonly PlacementCandidate[];
    }
  | { readonly kind: 'wait'; readonly reason: WaitReason }
  | { readonly kind: 'refuse'; readonly failure: Failure };
