import type { MembershipState as EndpointTable } from '../../decisions/membership/types.js';
import type { EndpointId, Incarnation } from '../../core/ids.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointView } from '../../decisions/placement/types.js';
import type { ListedInstance, ReceivedHeartbeat } from '../types.js';

/** Endpoints that this daemon knows from heartbeats and the instance list. */
export interface MembershipState {
  readonly table: EndpointTable<ReceivedHeartbeat>;
  /**
   * Input of placement for each endpoint, built once per heartbeat. The map is updated in place,
   * because 512 endpoints send a thousand heartbeats per second.
   */
  readonly views: Map<EndpointId, EndpointView>;
  /** Start identity of the engine or service, by the incarnation of its endpoint daemon. */
  readonly engineStarts: Map<Incarnation, string>;
  /** Listed instances of entry daemons. */
  readonly peers: readonly ListedInstance[];
  readonly lastTickAt: Millis;
}
