import type { GatewayProcess } from './gatewayProcess.js';
import type { LinkProxy } from './linkProxy.js';
import type { SoakPlatform, SoakWorker } from './soakPlatform.js';
import type {
  CallRecord,
  Disruption,
  Finding,
  Hindrance,
  HostileGroup,
  PublishedChange,
  Termination,
} from './types.js';
import type { Clock, Millis } from '../core/clock.js';

/** State and resources of a running soak. */
export interface Soak {
  readonly clock: Clock;
  readonly platform: SoakPlatform;
  readonly gateways: readonly GatewayProcess[];
  readonly hosts: readonly string[];
  readonly storeLinks: readonly LinkProxy[];
  readonly workerLinks: readonly LinkProxy[];
  readonly workers: (SoakWorker | null)[];
  readonly calls: CallRecord[];
  readonly changes: PublishedChange[];
  readonly terminations: Termination[];
  readonly disruptions: Disruption[];
  readonly hostileGroups: HostileGroup[];
  readonly hindrances: Hindrance[];
  /** Slots whose workers state in their answers that they leave. */
  readonly leavingSlots: Set<number>;
  readonly findings: Finding[];
  readonly startedAt: Millis;
  phase: 'running' | 'over';
}
