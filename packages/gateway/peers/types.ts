import type { Millis } from '../../core/clock.js';

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
  /** Hosts of the daemons from which the sender receives reports. */
  readonly hosts: readonly string[];
  /** Crashes: the fingerprint of a request and the endpoint that crashed while it ran it. */
  readonly crashes: readonly (readonly [fingerprint: string, endpoint: string])[];
}

/** Another daemon and its last report. */
export interface Peer {
  readonly host: string;
  readonly receivedAt: Millis;
  readonly message: PeerMessage;
}
