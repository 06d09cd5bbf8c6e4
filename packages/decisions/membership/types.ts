import type { Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId, Incarnation, Offset } from '../../core/ids.js';

/** Phase that an endpoint daemon reports in its heartbeats. */
export type ReportedPhase = 'starting' | 'ramping' | 'serving' | 'draining';

/** Phase of an endpoint at an entry daemon: `suspect` and `gone` result from missing heartbeats. */
export type EndpointPhase = ReportedPhase | 'suspect' | 'gone';

/** State of an endpoint in the instance list. */
export type ListedState = 'live' | 'leaving' | 'unlisted';

/** Whether an endpoint may receive new work now, or the reason why not. */
export type Eligibility =
  'eligible' | 'unknown' | 'starting' | 'draining' | 'suspect' | 'gone' | 'data-centre-out';

/** Heartbeat of an endpoint daemon; membership ignores the load and evidence in `report`. */
export interface Heartbeat<Report> {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly incarnation: Incarnation;
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number;
  readonly phase: ReportedPhase;
  readonly report: Report;
}

/** State of one endpoint in an entry daemon. */
export interface EndpointEntry<Report> {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly phase: EndpointPhase;
  readonly listed: ListedState;
  /** Newest heartbeat, or null while the endpoint is known only from the instance list. */
  readonly newest: Heartbeat<Report> | null;
  /** Arrival of the newest heartbeat, or the instant at which the list first named the endpoint. */
  readonly lastSeenAt: Millis;
}

/** Endpoint in the instance list, which lags behind the platform. */
export interface ListedInstance {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
}

/**
 * Endpoints known to an entry daemon. The table is updated in place, so that a heartbeat costs O(1)
 * at 512 endpoints; only `membership.ts` updates it.
 */
export interface MembershipState<Report> {
  readonly endpoints: Map<EndpointId, EndpointEntry<Report>>;
  readonly dataCentresOut: ReadonlySet<DataCentreId>;
  readonly configurationOffset: Offset;
  /** Heartbeats that arrive before this instant may predate a pause of this process. */
  readonly backlogUntil: Millis;
}

/** Input of a membership decision. */
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
  /** This process was paused. */
  | { readonly kind: 'process-paused'; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Output of a membership decision, for the other children of the entry daemon's supervisor. */
export type MembershipEffect =
  | {
      readonly kind: 'phase-changed';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation | null;
      readonly from: EndpointPhase | null;
      readonly to: EndpointPhase;
    }
  /** The endpoint restarted; work in flight at the older incarnation is lost. */
  | {
      readonly kind: 'incarnation-replaced';
      readonly endpoint: EndpointId;
      readonly older: Incarnation;
      readonly newer: Incarnation;
    }
  /** Acknowledges a heartbeat, which renews the endpoint daemon's lease. */
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
  /** The endpoint was removed from the table. */
  | { readonly kind: 'forgotten'; readonly endpoint: EndpointId };
