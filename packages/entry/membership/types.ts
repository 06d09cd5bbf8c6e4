import type { MembershipState as EndpointTable } from '../../decisions/membership/types.js';
import type { EndpointId, Incarnation } from '../../core/ids.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointView } from '../../decisions/placement/types.js';
import type { ListedInstance, ReceivedHeartbeat } from '../types.js';

/** Endpoints that this daemon knows, from heartbeats and from the instance list. */
export interface MembershipState {
  readonly table: EndpointTable<ReceivedHeartbeat>;
  /**
   * What placement sees of each endpoint, built once for each heartbeat. Updated in place: at 512
   * endpoints a thousand heartbeats a second arrive.
   */
  readonly views: Map<EndpointId, EndpointView>;
  /** Start identity of the engine behind each incarnation of an endpoint daemon. */
  readonly starts: Map<Incarnation, string>;
  readonly peers: readonly ListedInstance[];
  readonly lastTickAt: Millis;
}
