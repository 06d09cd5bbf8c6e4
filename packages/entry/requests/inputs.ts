import type { Suspicions } from './suspicions.js';
import type { ClassPolicy } from './types.js';
import type { ReceivedHeartbeat, VersionChoice } from '../types.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId, ModelName, RequestId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import type { ChainState, KeyCounts, TableStanding } from '../../decisions/idempotency/types.js';
import type { PlacementTable } from '../../decisions/placement/placementTable.js';
import type { EndpointView, PlacementPolicy } from '../../decisions/placement/types.js';
import type { SendOwner } from '../../decisions/retries/sendOwner.js';
import type { SurvivalTable } from '../../decisions/survival/survivalTable.js';

/** Dependencies of the `requests` child on the rest of the daemon. */
export interface RequestsInputs {
  readonly now: () => Millis;
  readonly random: RandomSource;
  readonly createId: () => string;
  readonly process: string;
  readonly dataCentre: string;
  readonly models: readonly ModelName[];
  readonly placementPolicy: PlacementPolicy;
  readonly limits: {
    readonly maxRequests: number;
    readonly queueCapacity: number;
    readonly keyWindowMs: Millis;
    readonly maxUntimedKeys: number;
    readonly maxTimedKeys: number;
  };
  readonly getDefaultClass: (customer: CustomerId) => ClassName | undefined;
  /** Quarantined fingerprints with the time at which each expires. */
  readonly getQuarantined: () => ReadonlyMap<string, Millis>;
  readonly getClasses: () => ReadonlyMap<ClassName, ClassPolicy>;
  /** Endpoints with their current phase. */
  readonly listEndpoints: () => readonly EndpointView[];
  /** Newest heartbeat of an endpoint; undefined for an endpoint that sent none. */
  readonly findHeartbeat: (endpoint: string) => ReceivedHeartbeat | undefined;
  readonly getCustomerWeight: (customer: CustomerId) => number;
  /** Version that a move selects for a request; null when any version may serve it. */
  readonly chooseVersion: (model: ModelName, requestId: RequestId) => VersionChoice | null;
  /** Outlives a restart of the child, so that no budget is granted anew. */
  readonly sends: SendOwner;
  readonly suspicions: Suspicions;
  readonly findChain: (customer: CustomerId, key: string) => ChainState | undefined;
  readonly getIntentLog: () => {
    readonly log: 'up' | 'out';
    readonly standing: TableStanding;
    readonly nextOffset: number;
    readonly keyCounts: KeyCounts;
  };
  readonly placements: PlacementTable;
  readonly survival: SurvivalTable;
}
