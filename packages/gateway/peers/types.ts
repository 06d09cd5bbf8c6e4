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
  readonly format: 1;
  readonly process: string;
  readonly load: readonly LoadRow[];
  /** Generations to be taken from endpoints that leave: endpoint and number. */
  readonly transfers: readonly (readonly [source: string, generations: number])[];
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
  readonly heardAt: Millis;
  readonly message: PeerMessage;
}
