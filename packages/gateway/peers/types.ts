import type { Millis } from '../../core/clock.js';
import type { CrashProgress } from '../../decisions/quarantine/crashEvidence.js';

/**
 * Load of one daemon's requests on one endpoint. `waitingTokens` are the prompt tokens of requests
 * without a first event.
 */
export type LoadRow = readonly [
  endpoint: string,
  requests: number,
  tokens: number,
  waitingTokens: number,
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

/** Report of a gateway daemon to the others, sent every `REPORT_INTERVAL_MS`. */
export interface PeerMessage {
  readonly format: 2;
  readonly process: string;
  readonly load: readonly LoadRow[];
  /**
   * Leaving endpoints from which the sender has generations to transfer, each with the highest
   * transfer priority among them.
   */
  readonly transfers: readonly (readonly [source: string, priority: number])[];
  /** Endpoints of which the sender learnt recently that they leave or were removed. */
  readonly leaving: readonly string[];
  /** Endpoints that recently stated a request limit, or that they have none any more. */
  readonly limits: readonly LimitRow[];
  /** Hosts of the daemons from which the sender receives reports. */
  readonly hosts: readonly string[];
  /** Crashes of endpoints, with the requests that they had not answered. */
  readonly crashes: readonly CrashReportRow[];
  /** Newest survivals of fingerprints among those that crashed endpoints. */
  readonly survivals: readonly (readonly [fingerprint: string, ageMs: Millis])[];
}

/** Another daemon and its last report. */
export interface Peer {
  readonly host: string;
  readonly receivedAt: Millis;
  readonly message: PeerMessage;
}
