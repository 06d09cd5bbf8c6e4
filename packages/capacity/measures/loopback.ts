import type { Server } from 'node:http';

/**
 * Starts a server on an ephemeral port of the loopback interface.
 *
 * @param server - server that is not listening yet
 * @returns its base URL
 */
export const startOnLoopback = (server: Server): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      resolve(`http://127.0.0.1:${port.toString()}`);
    });
  });
