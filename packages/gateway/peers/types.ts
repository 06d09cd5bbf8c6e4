import type { Millis } from '../../core/clock.js';

/** Work of one daemon on one endpoint. */
export type LoadRow = readonly [
  endpoint: string,
  requests: number,
  tokens: number,
  waitingTokens: number,
];

/** What one gateway daemon tells the others a few times a second. */
export interface PeerMessage {
  readonly format: 2;
  readonly process: string;
  readonly load: readonly LoadRow[];
  /** Endpoints that leave and still run generations to be taken elsewhere, with the greatest worth. */
  readonly transfers: readonly (readonly [source: string, priority: number])[];
  /** Endpoints that the sender has lately learnt to leave. */
  readonly leaving: readonly string[];
  /** Hosts of other daemons that the sender hears. */
  readonly hosts: readonly string[];
  /** Requests whose endpoints crashed: fingerprint and endpoint. */
  readonly crashes: readonly (readonly [fingerprint: string, endpoint: string])[];
}

/** Another daemon as it was last heard. */
export interface Peer {
  readonly host: string;
  readonly receivedAt: Millis;
  readonly message: PeerMessage;
}
