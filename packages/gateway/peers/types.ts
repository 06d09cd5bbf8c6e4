import type { Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId } from '../../core/ids.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';
import type { GroupName } from '../../decisions/membership/reportGroups.js';
import type { CrashProgress } from '../../decisions/quarantine/types.js';

/**
 * Load of one daemon's requests on one endpoint. `waitingTokens` are the prompt tokens of requests
 * without a first event. `growthTokens` are those by which the running ones are expected to grow; a daemon
 * of an earlier version leaves them out.
 */
export type LoadRow = readonly [
  endpoint: string,
  requests: number,
  tokens: number,
  waitingTokens: number,
  growthTokens?: number,
];

/**
 * Crash of an endpoint incarnation, and the fingerprints of one request that it had. Daemons of an
 * earlier version send and read the first two values.
 */
export type CrashReportRow = readonly [
  /** Fingerprint of the whole content, or an empty string when only parts are suspected. */
  whole: string,
  endpoint: string,
  progress: CrashProgress,
  ageMs: Millis,
  parts: readonly string[],
];

/**
 * Newest statement of an endpoint about its request limit, and the sender's requests to it within
 * the window of the limit.
 */
export type LimitRow = readonly [
  endpoint: string,
  requestsPerSecond: number | null,
  ageMs: Millis,
  requests: number,
];

/** Contents that the report of a daemon and the summary of a group have in common. */
interface SharedContents {
  /** Number of daemons of the fleet that the sender has heard of; 1 for an earlier version. */
  readonly fleet: number;
  readonly load: readonly LoadRow[];
  /** Endpoints of which the sender learnt recently that they leave or were removed. */
  readonly leaving: readonly string[];
  /** Endpoints that recently stated a request limit, or that they have none any more. */
  readonly limits: readonly LimitRow[];
  /** Crashes of endpoints, with the requests that they had not answered. */
  readonly crashes: readonly CrashReportRow[];
  /** Newest survivals of fingerprints among those that crashed endpoints. */
  readonly survivals: readonly (readonly [fingerprint: string, ageMs: Millis])[];
}

/** Report of a gateway daemon to those of its group, sent every `REPORT_INTERVAL_MS`. */
export interface PeerReport extends SharedContents {
  readonly kind: 'report';
  readonly format: 2;
  readonly process: string;
  /** Empty for a daemon of an earlier version. */
  readonly dataCentre: DataCentreId;
  /**
   * Leaving endpoints from which the sender has generations to transfer, each with the highest
   * transfer priority among them.
   */
  readonly transfers: readonly (readonly [source: string, priority: number])[];
  /** Hosts of daemons that the receiver may not know. */
  readonly hosts: readonly string[];
  /** Whether the receiver should name daemons of the sender's data centre. */
  readonly wants: 'hosts' | 'nothing';
}

/** Member of a group and the age of its last report. */
export type MemberRow = readonly [
  host: string,
  process: string,
  dataCentre: DataCentreId,
  ageMs: Millis,
];

/**
 * Sums of the reports of one group, sent by its leader to one daemon of each other group, which
 * relays it to the others of its own.
 */
export interface GroupSummary extends SharedContents {
  readonly kind: 'summary';
  readonly format: 3;
  readonly group: GroupName;
  readonly hop: 'direct' | 'relayed';
  readonly members: readonly MemberRow[];
  /** The next transfer from each leaving endpoint, as in a report, and the daemon that has it. */
  readonly transfers: readonly (readonly [source: string, priority: number, process: string])[];
}

export type PeerMessage = PeerReport | GroupSummary;

/** Message of another daemon or group, with its loads by endpoint. */
export interface Received<Message extends PeerMessage> {
  readonly receivedAt: Millis;
  readonly message: Message;
  readonly loads: ReadonlyMap<EndpointId, EndpointLoad>;
}
