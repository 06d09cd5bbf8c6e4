import type {
  AnswerHead,
  FeedName,
  FeedPosition,
  FeedResult,
  MoveChange,
  PhaseReport,
  RecordChange,
  RemovalCertainty,
  RunState,
  StoreEpoch,
  TransferResult,
} from './types.js';
import type { ReadScope } from './feeds/changes.js';
import type { PeerCrashes } from './peers/crashReports.js';
import type { PeerMessage } from './peers/types.js';
import type { LeaseAppendResult, LeaseLoad, UsageReportResult } from './usage/types.js';
import type { QuarantineLoad } from './quarantine/types.js';
import type { Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId, EndpointId, VersionName } from '../core/ids.js';
import type { AttemptObservation } from '../decisions/forwarding/endpointHealth.js';
import type { EndpointStatement } from '../decisions/forwarding/statements.js';
import type {
  EndpointIncarnation,
  ForwardRequest,
  ForwardingConfiguration,
  ServiceName,
} from '../decisions/forwarding/types.js';
import type { RegisteredVersion } from '../decisions/forwarding/versionRoles.js';
import type { CrashProgress } from '../decisions/quarantine/types.js';
import type { ContentFingerprints, Fingerprint } from '../decisions/quarantine/types.js';
import type { UsageMessage, WindowNumber } from '../decisions/usage/types.js';

/** Why an attempt ended without a complete answer. */
export type AttemptFailure =
  /** The connection was not established, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** The connection closed before the answer was complete. */
  | { readonly kind: 'broken'; readonly message: string }
  /** The received answer is invalid: malformed, too large, unsigned or of another request. */
  | { readonly kind: 'garbled'; readonly message: string };

/**
 * Whether an endpoint accepts connections: `refused` when nothing listens at its address, `silent`
 * when there is no reply.
 */
export type ProbeResult = 'reachable' | 'refused' | 'silent';

export type FeedsEvent = { readonly to: 'feeds' } & (
  | {
      readonly kind: 'feed-answered';
      readonly feed: FeedName;
      /** Position from which the feed was read; null for a load. */
      readonly from: FeedPosition | null;
      readonly result: FeedResult;
    }
  | { readonly kind: 'feed-due'; readonly feed: FeedName }
);

export type ConfigurationEvent = { readonly to: 'configuration' } & {
  readonly kind: 'configuration-read';
  readonly configuration: ForwardingConfiguration;
  /** Epoch of the store that returned the record. */
  readonly epoch: StoreEpoch;
};

export type MembershipEvent = { readonly to: 'membership' } & (
  | {
      readonly kind: 'registrations-changed';
      readonly changes: readonly RecordChange[];
      readonly scope: ReadScope;
      readonly removals: RemovalCertainty;
    }
  | {
      readonly kind: 'data-centres-changed';
      readonly changes: readonly RecordChange[];
      readonly scope: ReadScope;
    }
  | {
      /** The order for a data centre was not written again after the store was restored. */
      readonly kind: 'data-centre-hold-due';
      readonly dataCentre: DataCentreId;
      readonly heldAt: Millis;
    }
  | {
      readonly kind: 'attempt-observed';
      readonly endpoint: EndpointId;
      readonly observation: AttemptObservation;
    }
  /** The engines whose registrations may be stale are to be polled for their state. */
  | { readonly kind: 'report-poll-due' }
  | { readonly kind: 'report-read'; readonly endpoint: EndpointId; readonly report: PhaseReport }
  | { readonly kind: 'removal-due'; readonly id: EndpointId; readonly removedAt: Millis }
);

/** Request that an endpoint answered. */
export interface AnsweredRequest {
  readonly id: string;
  readonly sentAt: Millis;
}

export type StatementsEvent = { readonly to: 'statements' } & (
  | {
      /** An endpoint answered a request or a control call. */
      readonly kind: 'endpoint-answered';
      readonly endpoint: EndpointIncarnation;
      /** Request that it answered; null for a control call, whose answer ends no earlier statement. */
      readonly request: AnsweredRequest | null;
      readonly statements: readonly EndpointStatement[];
    }
  | {
      /** A peer reported the limit that an endpoint stated to it, or that there is none. */
      readonly kind: 'limit-reported';
      readonly endpoint: EndpointId;
      readonly requestsPerSecond: number | null;
      readonly observedAt: Millis;
    }
);

export type QuarantineEvent = { readonly to: 'quarantine' } & (
  | {
      /** An endpoint crashed while it had a request of this daemon. */
      readonly kind: 'crash-observed';
      readonly requestId: string;
      /** Identity of the endpoint incarnation. */
      readonly endpoint: string;
      readonly progress: CrashProgress;
      readonly content: ContentFingerprints;
    }
  /** An endpoint answered a request with these fingerprints and did not crash. */
  | { readonly kind: 'answer-observed'; readonly fingerprints: readonly Fingerprint[] }
  | ({ readonly kind: 'crashes-reported' } & PeerCrashes)
  | { readonly kind: 'load-due' }
  /** The store was restored from a copy that may lack what this daemon wrote. */
  | { readonly kind: 'store-restored'; readonly epoch: StoreEpoch }
  /** The end of a quarantine is to be stored again. */
  | { readonly kind: 'remove-due'; readonly fingerprint: Fingerprint }
  | { readonly kind: 'quarantines-loaded'; readonly result: QuarantineLoad }
  /** A quarantine is to be stored, again if the first time failed. */
  | { readonly kind: 'save-due'; readonly fingerprint: Fingerprint }
);

export type PeersEvent = { readonly to: 'peers' } & (
  | { readonly kind: 'peer-report-received'; readonly host: string; readonly message: PeerMessage }
  | { readonly kind: 'report-due' }
  /** The other daemons need a change before the next regular report. */
  | { readonly kind: 'report-changed' }
);

export type MovesEvent = { readonly to: 'moves' } & (
  | {
      readonly kind: 'moves-changed';
      readonly changes: readonly MoveChange[];
      readonly scope: ReadScope;
    }
  /** The order for a service was not written again after the store was restored. */
  | { readonly kind: 'move-hold-due'; readonly service: string; readonly heldAt: Millis }
  /** A version of a service got its first endpoint or lost its last one. */
  | {
      readonly kind: 'versions-changed';
      readonly service: ServiceName;
      readonly versions: readonly RegisteredVersion[];
    }
  /** A version that served may still have no endpoint. */
  | {
      readonly kind: 'serving-check-due';
      readonly service: ServiceName;
      readonly version: VersionName;
      /** Instant from which it had none. */
      readonly since: Millis;
    }
);

export type RequestsEvent = { readonly to: 'requests' } & (
  | {
      readonly kind: 'request-arrived';
      readonly request: ForwardRequest;
      readonly body: BodyState;
    }
  | { readonly kind: 'caller-disconnected'; readonly key: number }
  | {
      readonly kind: 'answer-started';
      readonly key: number;
      readonly attempt: number;
      readonly head: AnswerHead;
    }
  | {
      readonly kind: 'answer-continued';
      readonly key: number;
      readonly attempt: number;
      readonly bytes: Uint8Array;
    }
  | { readonly kind: 'answer-ended'; readonly key: number; readonly attempt: number }
  /** The connection is established, and nothing has been sent on it. */
  | { readonly kind: 'attempt-connected'; readonly key: number; readonly attempt: number }
  | {
      readonly kind: 'attempt-failed';
      readonly key: number;
      readonly attempt: number;
      readonly failure: AttemptFailure;
    }
  | { readonly kind: 'deadline-reached'; readonly key: number }
  | { readonly kind: 'placement-due'; readonly key: number }
  /** The requests of a service that wait for room in an engine are to be tried. */
  | { readonly kind: 'room-due'; readonly service: ServiceName }
  | { readonly kind: 'hedge-due'; readonly key: number; readonly attempt: number }
  | { readonly kind: 'stall-check-due'; readonly key: number; readonly attempt: number }
  /** The engine of a silent stream is to be asked whether it still runs the request. */
  | { readonly kind: 'run-check-due'; readonly key: number; readonly attempt: number }
  | {
      readonly kind: 'run-checked';
      readonly key: number;
      readonly attempt: number;
      readonly run: RunState;
    }
  /** The time is over in which a silent endpoint may go on with a stream that another continues. */
  | { readonly kind: 'overlap-ended'; readonly key: number; readonly attempt: number }
  | {
      readonly kind: 'transfer-ended';
      readonly key: number;
      readonly attempt: number;
      /** Endpoint from which the generation was to be transferred. */
      readonly source: EndpointIncarnation;
      readonly result: TransferResult;
    }
  | {
      /** Answer to an order to stop the run of an attempt that was given up. */
      readonly kind: 'run-stop-answered';
      readonly key: number;
      readonly attempt: number;
      readonly source: EndpointIncarnation;
      readonly result: TransferResult;
    }
  | {
      /** A run whose stop may not be confirmed is to be checked. */
      readonly kind: 'run-stop-due';
      readonly key: number;
      readonly attempt: number;
      /** Number of the check; earlier ones no longer count. */
      readonly check: number;
    }
  | {
      /** Result of the probe after the connection of an attempt broke. */
      readonly kind: 'endpoint-probed';
      readonly key: number;
      readonly attempt: number;
      readonly result: ProbeResult;
    }
  | { readonly kind: 'content-quarantined' }
  /** The daemon ends soon; the requests that are left get their last answer. */
  | { readonly kind: 'drain-ended' }
  | { readonly kind: 'transfer-due'; readonly source: EndpointId }
  | { readonly kind: 'endpoint-leaving'; readonly endpoint: EndpointId }
);

/** Whether a request was read whole; the body of one that is to be refused is not read. */
export type BodyState = 'whole' | 'unread';

export type FrontendEvent = { readonly to: 'frontend' } & (
  | {
      readonly kind: 'caller-arrived';
      readonly request: ForwardRequest;
      readonly body: BodyState;
    }
  | { readonly kind: 'drain-started' }
  /** `reads` tells whether all that arrived before the check was due has been read. */
  | { readonly kind: 'drain-checked'; readonly reads: 'due' | 'done' }
);

/** Counts of a daemon as it sends them; the receiver knows the host. */
export type SentUsage = Omit<UsageMessage, 'host'>;

export type UsageEvent = { readonly to: 'usage' } & (
  | { readonly kind: 'usage-due' }
  /** An endpoint began to run a request. */
  | { readonly kind: 'run-began'; readonly customer: CustomerId }
  | { readonly kind: 'usage-received'; readonly host: string; readonly message: SentUsage }
  | { readonly kind: 'lease-loaded'; readonly result: LeaseLoad }
  | { readonly kind: 'lease-appended'; readonly result: LeaseAppendResult }
  | {
      readonly kind: 'usage-report-ended';
      readonly window: WindowNumber;
      readonly result: UsageReportResult;
    }
);

export type GatewayEvent =
  | FeedsEvent
  | ConfigurationEvent
  | MembershipEvent
  | StatementsEvent
  | PeersEvent
  | QuarantineEvent
  | MovesEvent
  | RequestsEvent
  | UsageEvent
  | FrontendEvent;

/** Event of an attempt at an endpoint, or what the endpoint says of itself in its answer. */
export type AttemptEvent = RequestsEvent | Extract<StatementsEvent, { kind: 'endpoint-answered' }>;
