import type { Server } from 'node:net';
import { openListener } from '../../core/openAddress.js';

/**
 * Opens a server on a free port.
 *
 * @param server - server that does not listen
 * @param host - loopback address on which it listens
 * @returns the port
 * @throws the error of the server
 */
export const openFreePort = async (server: Server, host = '127.0.0.1'): Promise<number> => {
  await openListener(server, { host, port: 0 });
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
};
