import { createServer } from 'node:http';
import { openListener } from '../../core/openAddress.js';
import type { EndpointAddress } from '../../decisions/forwarding/types.js';

/** A page about the daemon itself, such as its readiness. */
export interface StatusPage {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export interface StatusServer {
  readonly listen: (address: EndpointAddress) => Promise<void>;
  readonly close: () => void;
}

/**
 * Creates a server for pages about the daemon itself, such as its readiness and metrics.
 *
 * @param getPage - returns the page of a path, or null when there is none
 * @param onError - receives the error when a page cannot be built
 * @returns the server, not yet listening
 */
export const createStatusServer = (
  getPage: (path: string) => Promise<StatusPage | null>,
  onError: (error: unknown) => void,
): StatusServer => {
  const server = createServer((incoming, response) => {
    getPage(incoming.url ?? '/')
      .then((page) => {
        response.writeHead(page?.status ?? 404, {
          'content-type': page?.contentType ?? 'text/plain',
        });
        response.end(page?.body ?? 'not found\n');
      })
      .catch((error: unknown) => {
        onError(error);
        response.writeHead(500);
        response.end();
      });
  });
  return {
    listen: ({ host, port }) => openListener(server, { host, port }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
