import { createSocket } from 'node:dgram';
import type { CrashReportRow, PeerMessage } from './types.js';
import { parseJsonBytes } from '../../core/jsonText.js';
import type { EndpointAddress } from '../../decisions/forwarding/types.js';

export interface PeerSocket {
  readonly open: () => Promise<void>;
  readonly send: (hosts: readonly string[], message: PeerMessage) => void;
  readonly close: () => void;
}

const isLoadRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  Number.isFinite(value[1]) &&
  Number.isFinite(value[2]) &&
  Number.isFinite(value[3]);

const isLimitRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  (value[1] === null || Number.isFinite(value[1])) &&
  Number.isFinite(value[2]) &&
  Number.isFinite(value[3]);

const isNamedNumber = (value: unknown): boolean =>
  Array.isArray(value) && typeof value[0] === 'string' && Number.isFinite(value[1]);

const isStringList = (value: unknown): boolean =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const isCrashRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  typeof value[1] === 'string' &&
  // A daemon of an earlier version reports neither progress nor age.
  (value.length === 2 ||
    ((value[2] === 'beginning' || value[2] === 'waiting') &&
      Number.isFinite(value[3]) &&
      isStringList(value[4])));

/** A message in which a daemon of an earlier version leaves out what it does not report. */
type ReceivedMessage = Omit<PeerMessage, 'crashes' | 'limits' | 'survivals'> & {
  readonly crashes: readonly (CrashReportRow | readonly [whole: string, endpoint: string])[];
  readonly limits?: PeerMessage['limits'];
  readonly survivals?: PeerMessage['survivals'];
};

const isMessage = (value: unknown): value is ReceivedMessage => {
  if (typeof value !== 'object' || value === null) return false;
  const { crashes, format, hosts, leaving, limits, load, process, survivals, transfers } =
    value as Record<string, unknown>;
  return (
    format === 2 &&
    typeof process === 'string' &&
    Array.isArray(load) &&
    load.every(isLoadRow) &&
    Array.isArray(transfers) &&
    transfers.every(isNamedNumber) &&
    isStringList(hosts) &&
    isStringList(leaving) &&
    Array.isArray(crashes) &&
    crashes.every(isCrashRow) &&
    (limits === undefined || (Array.isArray(limits) && limits.every(isLimitRow))) &&
    (survivals === undefined || (Array.isArray(survivals) && survivals.every(isNamedNumber)))
  );
};

/**
 * Decodes a datagram from another daemon.
 *
 * @param bytes - payload of the datagram
 * @returns the message, or null when it is invalid or has another format version
 */
export const decodePeerMessage = (bytes: Uint8Array): PeerMessage | null => {
  const json = parseJsonBytes(bytes);
  if (json.isErr() || !isMessage(json.value)) return null;
  const { crashes, limits = [], survivals = [] } = json.value;
  return {
    ...json.value,
    limits,
    survivals,
    crashes: crashes.map(([whole, endpoint, progress = 'waiting', ageMs = 0, parts = []]) => [
      whole,
      endpoint,
      progress,
      ageMs,
      parts,
    ]),
  };
};

/**
 * Creates the socket for datagrams between daemons; all daemons use the same port.
 *
 * @param address - address of this daemon
 * @param onMessage - receives each valid message with the sender's host
 * @param onError - receives errors of the socket
 * @returns the socket, not yet open
 */
export const createPeerSocket = (
  address: EndpointAddress,
  onMessage: (host: string, message: PeerMessage) => void,
  onError: (error: Error) => void,
): PeerSocket => {
  const socket = createSocket('udp4');
  socket.on('error', onError);
  socket.on('message', (bytes, remote) => {
    const message = decodePeerMessage(bytes);
    if (message !== null) onMessage(remote.address, message);
  });
  return {
    open: () =>
      new Promise((resolve) => {
        socket.bind(address.port, address.host, resolve);
      }),
    send: (hosts, message) => {
      if (hosts.length === 0) return;
      const bytes = Buffer.from(JSON.stringify(message));
      for (const host of hosts) {
        socket.send(bytes, address.port, host, (error) => {
          if (error !== null) onError(error);
        });
      }
    },
    close: () => {
      socket.close();
    },
  };
};
