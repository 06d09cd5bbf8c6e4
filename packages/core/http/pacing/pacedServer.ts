import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PacedStream } from './pacedStream.js';
import { UNPACED_ARRIVAL, createRequestPacing } from './requestPacing.js';
import type { PacedArrival, PacingOptions, RequestPacing } from './requestPacing.js';

/** Connections of a server whose requests are handed on one after the other. */
export interface PacedServer {
  /** Returns the arrival of a request. */
  readonly getArrival: (incoming: IncomingMessage) => PacedArrival;
}

export interface PacedServerOptions extends PacingOptions {
  /** Receives each new connection, after the server. */
  readonly onConnection: (stream: PacedStream) => void;
}

const EXPECTATION_FAILED = 417;

/**
 * Puts the pacing between the accepted connections of a server and its own handling of them. The server
 * keeps listening itself, since its checks of the header timeout begin with that.
 *
 * @param server - server that has no other listener for `connection` yet than its own
 * @param options - clock, memory and receiver of the connections
 * @returns the arrivals of the requests
 */
export const wirePacing = (server: Server, options: PacedServerOptions): PacedServer => {
  const pacings = new WeakMap<object, RequestPacing>();
  // Also called when the server is closed. To its parser a connection is idle whose request waits for
  // memory or for a turn.
  server.closeIdleConnections = options.table.closeIdle;
  // The server would drop further ones without a word, and the framing of a body may be among them. The
  // memory for the heads limits their number.
  server.maxHeadersCount = 0;
  const serverListeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    options.turns.yieldTurn();
    const pacing = createRequestPacing(socket, options);
    if (pacing === null) {
      socket.on('error', () => undefined);
      socket.destroy();
      return;
    }
    const { stream } = pacing;
    pacings.set(stream, pacing);
    for (const listener of serverListeners) listener.call(server, stream);
    options.onConnection(stream);
  });
  const begin = (incoming: IncomingMessage, response: ServerResponse): void => {
    pacings.get(incoming.socket)?.beginRequest(incoming, response);
  };
  server.prependListener('request', begin);
  // The server itself answers so without reporting the request.
  server.on('checkExpectation', (incoming: IncomingMessage, response: ServerResponse) => {
    begin(incoming, response);
    response.writeHead(EXPECTATION_FAILED);
    response.end();
  });
  return {
    getArrival: ({ socket }) => pacings.get(socket)?.getArrival() ?? UNPACED_ARRIVAL,
  };
};
