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

/** Phase of an endpoint as membership sees it. */
export type EndpointPhase = 'starting' | 'ramping' | 'serving' | 'draining' | 'suspect' | 'gone';

/** How much a class matters when there is not enough room for all. */
export type Importance = 'critical' | 'standard' | 'background';

/** Whether answers of a class are expected to end soon; short ones never wait behind long ones. */
export type AnswerLength = 'short' | 'long';

/** What an operator publishes for a class of work, as far as placement needs it. */
export interface ClassTargets {
  readonly className: ClassName;
  readonly importance: Importance;
  readonly answerLength: AnswerLength;
  /** Largest accepted probability of a memory overflow; the policy's value when absent. */
  readonly overflowProbability?: number;
  /** Cost of a stall relative to other classes; by importance and length when absent. */
  readonly stallWeight?: number;
}

/** What a request runs on. */
export type PlacementTarget =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      /** Version chosen by a move; any version when absent. */
      readonly version?: VersionName;
    }
  | { readonly kind: 'service'; readonly service: string };

/** One endpoint as its last heartbeat described it. */
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
  /** Sequences that may run now. */
  readonly limit: number;
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
  /** 0 for plain services. */
  readonly memoryTotalTokens: number;
  readonly tokensPerSecond: number;
  /** Age of the load figures. */
  readonly loadAgeMs: Millis;
  /** Hashes of the prompt prefixes that the engine has cached. */
  readonly prefixes: ReadonlySet<string>;
  /** Age of the newest cache event. */
  readonly prefixAgeMs: Millis;
  /** Cache events known to be lost. */
  readonly prefixGaps: number;
  readonly preemptions: number;
}

/** Whether the last load report of the endpoint already counts a placement. */
export type ReportState = 'included' | 'not-included';

/** A request that this daemon placed and that is still in flight. */
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

/** Sums over this daemon's placements at one endpoint. */
export interface LocalLoad {
  /** Placements that the last load report counts. */
  readonly includedCount: number;
  readonly includedTokens: number;
  /** Placements since the last load report. */
  readonly newCount: number;
  readonly newTokens: number;
  /** Placements that ended since the last load report, which still counts them. */
  readonly endedCount: number;
  readonly endedTokens: number;
  /** Requests that the endpoint had at least when it last refused one for lack of room. */
  readonly requestsAtRefusal: number;
  /** Predicted change of memory by the placements in flight. */
  readonly change: MemoryChange;
}

/** Read-only view of this daemon's placements. */
export interface PlacementTableView {
  /** Placements made so far; the turn of round-robin. */
  readonly getPlacementCount: () => number;
  readonly getLoad: (endpoint: EndpointId) => LocalLoad | undefined;
}

/** What is to be placed. */
export interface PlacementRequest {
  readonly requestId: RequestId;
  readonly target: PlacementTarget;
  readonly customer: CustomerId;
  readonly targets: ClassTargets;
  readonly promptTokens: number;
  readonly prefix?: string;
  /** Data centre of this entry daemon. */
  readonly dataCentre: DataCentreId;
  /** Endpoints that failed or refused this request before. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** The only endpoint that may take the request. */
  readonly pinned?: EndpointId;
}

/** How an endpoint is chosen among those that may take a request. */
export type PlacementPolicy =
  | { readonly kind: 'round-robin' }
  | { readonly kind: 'least-requests' }
  | {
      readonly kind: 'predicted-headroom';
      /** Endpoints compared for one request. */
      readonly choices: number;
      readonly horizonMs: Millis;
      /** Largest accepted probability that memory overflows within the horizon. */
      readonly overflowProbability: number;
      /** Share of memory that a prompt found whole in the cache is worth. */
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

/** One endpoint that was compared; `score` orders candidates of the same decision only. */
export interface PlacementCandidate {
  readonly endpoint: EndpointId;
  readonly score: number;
  readonly requests: number;
  readonly overflowProbability: number;
  readonly headroom: number;
}

/** Why a request waits. */
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
