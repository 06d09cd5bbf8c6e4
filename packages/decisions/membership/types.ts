import type { Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId, Incarnation, Offset } from '../../core/ids.js';

/** Phase that an endpoint daemon reports of itself. */
export type ReportedPhase = 'starting' | 'ramping' | 'serving' | 'draining';

/** Phase of an endpoint as an entry daemon sees it. */
export type EndpointPhase = ReportedPhase | 'suspect' | 'gone';

/** What the instance list says of an endpoint. */
export type ListedState = 'live' | 'leaving' | 'unlisted';

/** Whether new work may go to an endpoint now, or why not. */
export type Eligibility =
  'eligible' | 'unknown' | 'starting' | 'draining' | 'suspect' | 'gone' | 'data-centre-out';

/** One heartbeat; `report` is load and evidence, opaque to membership. */
export interface Heartbeat<Report> {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly incarnation: Incarnation;
  /** Counts the heartbeats of one incarnation. */
  readonly sequence: number;
  readonly phase: ReportedPhase;
  readonly report: Report;
}

/** Everything that an entry daemon knows of one endpoint. */
export interface EndpointEntry<Report> {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly phase: EndpointPhase;
  readonly listed: ListedState;
  /** Newest heartbeat, or null while only the list proposed the endpoint. */
  readonly newest: Heartbeat<Report> | null;
  /** Instant of the newest heartbeat, or of the proposal. */
  readonly heardAt: Millis;
}

/** Endpoint in the instance list, which lags. */
export interface ListedInstance {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
}

/**
 * Endpoints known to an entry daemon. The table is updated in place, so that a heartbeat costs O(1)
 * at 512 endpoints; only `membership.ts` writes to it.
 */
export interface MembershipState<Report> {
  readonly endpoints: Map<EndpointId, EndpointEntry<Report>>;
  readonly dataCentresOut: ReadonlySet<DataCentreId>;
  readonly configurationOffset: Offset;
  /** Heartbeats that arrive before this instant may be older than a pause of this process. */
  readonly trustFrom: Millis;
}

/** What an entry daemon learns of endpoints. */
export type MembershipEvent<Report> =
  | { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat<Report>; readonly now: Millis }
  | {
      readonly kind: 'instance-list';
      readonly instances: readonly ListedInstance[];
      readonly now: Millis;
    }
  | {
      readonly kind: 'configuration';
      readonly dataCentresOut: readonly DataCentreId[];
      readonly offset: Offset;
    }
  | { readonly kind: 'own-pause'; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Changes that the other children of the entry daemon act on. */
export type MembershipEffect =
  | {
      readonly kind: 'phase-changed';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation | null;
      readonly from: EndpointPhase | null;
      readonly to: EndpointPhase;
    }
  /** Running work of the older incarnation is lost. */
  | {
      readonly kind: 'incarnation-replaced';
      readonly endpoint: EndpointId;
      readonly older: Incarnation;
      readonly newer: Incarnation;
    }
  /** Answers the heartbeat, which renews the endpoint daemon's lease. */
  | {
      readonly kind: 'acknowledge';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation;
      readonly sequence: number;
    }
  | {
      readonly kind: 'heartbeat-ignored';
      readonly endpoint: EndpointId;
      readonly reason: 'older-incarnation' | 'older-sequence';
    }
  | { readonly kind: 'forgotten'; readonly endpoint: EndpointId };
