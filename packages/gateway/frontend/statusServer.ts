import { createServer } from 'node:http';
import { createConnectionTable } from '../../core/http/pacing/connectionTable.js';
import { LISTEN_BACKLOG, STATUS_MEMORY_BYTES, MAX_STATUS_CONNECTIONS } from './constants.js';
import { wirePacing } from '../../core/http/pacing/pacedServer.js';
import { createRequestRoom } from '../../core/http/pacing/requestRoom.js';
import type { Clock } from '../../core/clock.js';
import { createTurnQueue } from '../../core/loop/turnQueue.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';
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

/** Header size limit; the pages are asked for with a few short headers. */
const MAX_STATUS_HEADER_BYTES = 8 * 1024;

/** Size limit of a body, which no page needs. */
const MAX_STATUS_BODY_BYTES = 64 * 1024;

const HEADER_TIMEOUT_MS = 3_000;

const STATUS_OVERLOADED = 503;

/**
 * Creates a server for pages about the daemon itself, such as its readiness and metrics. What callers
 * send to it is limited apart from that of the requests: the page is also there while those fill their
 * memory.
 *
 * @param getPage - returns the page of a path, or null when there is none
 * @param onError - receives the error when a page cannot be built
 * @param clock - clock of the connections
 * @returns the server, not yet listening
 */
export const createStatusServer = (
  getPage: (path: string) => Promise<StatusPage | null>,
  onError: (error: unknown) => void,
  clock: Clock,
): StatusServer => {
  const server = createServer(
    { maxHeaderSize: MAX_STATUS_HEADER_BYTES, headersTimeout: HEADER_TIMEOUT_MS },
    (incoming, response) => {
      incoming.resume();
      if (pacing.getArrival(incoming).room === 'refused') {
        response.writeHead(STATUS_OVERLOADED);
        response.end();
        return;
      }
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
    },
  );
  const openAccount = () => createMemoryAccount(STATUS_MEMORY_BYTES);
  const memory = { connections: openAccount(), unparsed: openAccount() };
  const table = createConnectionTable(memory, MAX_STATUS_CONNECTIONS, clock);
  const pacing = wirePacing(server, {
    clock,
    table,
    room: createRequestRoom(openAccount(), clock, table.closeStalled),
    turns: createTurnQueue(),
    onConnection: () => undefined,
    getMaxBodyBytes: () => MAX_STATUS_BODY_BYTES,
    onClose: () => undefined,
  });
  return {
    listen: ({ host, port }) => openListener(server, { host, port, backlog: LISTEN_BACKLOG }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
