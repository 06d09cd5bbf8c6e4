import type { EndpointClient } from './endpoints/endpointClient.js';
import type { GatewayEvent } from './events.js';
import type { CallerServer } from './frontend/callerServer.js';
import type { ConnectionTracker } from './frontend/connections.js';
import type { Responders } from './frontend/responders.js';
import type { GatewayMemory } from './memory.js';
import type { PeerSocket } from './peers/peerSocket.js';
import type { QuarantineStore } from './quarantine/types.js';
import type { GatewayLogics, GatewayStates } from './supervisor.js';
import type {
  EngineControl,
  FeedReader,
  GatewaySettings,
  HeadCodec,
  LiveSettings,
} from './types.js';
import type { LeaseLog, UsageService } from './usage/types.js';
import type { Clock, Millis } from '../core/clock.js';
import type { EventLog } from '../core/events/eventLog.js';
import type { DeferredMetrics } from '../core/metrics/deferredMetrics.js';
import type { RandomSource } from '../core/random.js';
import type { Daemon } from '../core/supervision/daemon.js';

/** Why a daemon ends: its drain is over, or an error escaped the supervisor tree. */
export type EndReason =
  | { readonly kind: 'drained'; readonly left: number }
  | { readonly kind: 'fault'; readonly error: unknown };

/** Adapters to the platform on which a gateway daemon runs. */
export interface GatewayPorts {
  readonly codec: HeadCodec;
  readonly feeds: FeedReader;
  readonly engines: EngineControl;
  readonly quarantines: QuarantineStore;
  readonly leases: LeaseLog;
  readonly usage: UsageService;
  /** Owner of the memory that others can fill, which the adapters share. */
  readonly memory: GatewayMemory;
}

/** Parts of a gateway daemon, by their names in the container. */
export interface GatewayCradle {
  readonly settings: GatewaySettings;
  readonly ports: GatewayPorts;
  readonly onEnd: (reason: EndReason) => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: string;
  /** Live settings; `current` is replaced when the settings file changes. */
  readonly live: { current: LiveSettings };
  /** Instant at which the daemon was ordered to stop; null before. */
  readonly stopOrder: { at: Millis | null };
  readonly states: GatewayStates;
  readonly events: EventLog;
  readonly metrics: DeferredMetrics;
  readonly connections: ConnectionTracker;
  readonly responders: Responders;
  readonly callers: CallerServer;
  readonly endpoints: EndpointClient;
  readonly peers: PeerSocket;
  readonly logics: GatewayLogics;
  readonly daemon: Daemon<GatewayEvent>;
}
