import { createSocket } from 'node:dgram';
import { decodePeerMessage } from './peerCodec.js';
import type { PeerMessage } from './types.js';
import { decodeUsage, encodeUsage } from './usageCodec.js';
import type { SentUsage } from '../events.js';
import type { EndpointAddress } from '../../decisions/forwarding/types.js';

export interface PeerSocket {
  readonly open: () => Promise<void>;
  readonly send: (hosts: readonly string[], message: PeerMessage) => void;
  readonly sendUsage: (hosts: readonly string[], message: SentUsage) => void;
  readonly close: () => void;
}

/**
 * Creates the socket for datagrams between daemons; all daemons use the same port.
 *
 * @param address - address of this daemon
 * @param onMessage - receives each valid message with the sender's host
 * @param onError - receives errors of the socket
 * @param onUsage - receives the counts of another daemon
 * @returns the socket, not yet open
 */
export const createPeerSocket = (
  address: EndpointAddress,
  onMessage: (host: string, message: PeerMessage) => void,
  onError: (error: Error) => void,
  onUsage: (host: string, message: SentUsage) => void = () => undefined,
): PeerSocket => {
  const socket = createSocket('udp4');
  socket.on('error', onError);
  socket.on('message', (bytes, remote) => {
    const message = decodePeerMessage(bytes);
    if (message !== null) {
      onMessage(remote.address, message);
      return;
    }
    const usage = decodeUsage(bytes);
    if (usage !== null) onUsage(remote.address, usage);
  });
  const sendTo = (hosts: readonly string[], bytes: Uint8Array): void => {
    for (const host of hosts) {
      socket.send(bytes, address.port, host, (error) => {
        if (error !== null) onError(error);
      });
    }
  };
  return {
    open: () =>
      new Promise((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(address.port, address.host, () => {
          socket.off('error', reject);
          resolve();
        });
      }),
    send: (hosts, message) => {
      if (hosts.length === 0) return;
      sendTo(hosts, Buffer.from(JSON.stringify(message)));
    },
    sendUsage: (hosts, message) => {
      for (const bytes of encodeUsage(message)) sendTo(hosts, bytes);
    },
    close: () => {
      socket.close();
    },
  };
};
