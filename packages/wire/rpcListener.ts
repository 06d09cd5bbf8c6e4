import { createServer } from 'node:http2';
import type { Http2Server, Http2Session } from 'node:http2';
import type { Socket } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';
import {
  CLOSE_GRACE_MS,
  CONNECTION_OVERHEAD_BYTES,
  CONNECTION_PING_INTERVAL_MS,
  CONNECTION_PING_TIMEOUT_MS,
  DEFAULT_CALLS_BYTES,
  DEFAULT_CONNECTIONS_BYTES,
  DEFAULT_INPUT_BYTES,
  HEADER_TABLE_BYTES,
  MAX_CALL_HEAD_BYTES,
  MAX_CALL_HEAD_FIELDS,
  MAX_CONCURRENT_STREAMS_PER_CONNECTION,
  MAX_INPUT_BYTES,
  MAX_SESSION_MEGABYTES,
  MESSAGE_TIMEOUT_MS,
} from './constants.js';
import { createPacedInput } from './pacedInput.js';
import { createPeerConnections } from './peerConnections.js';
import { createRpcHandler } from './rpcHandler.js';
import type { Millis } from '../core/clock.js';
import { createTurnQueue } from '../core/loop/turnQueue.js';
import { createMemoryAccount } from '../core/memory/memoryAccount.js';
import type { MemoryAccount } from '../core/memory/types.js';
import { openListener } from '../core/openAddress.js';

/** Server side of the calls between the daemons. */
export interface RpcListener {
  /** Starts listening and resolves to the base URL. */
  readonly listen: (host: string, port: number) => Promise<string>;
  /** Accepts no new calls; resolves once running ones end or the grace period is over. */
  readonly close: () => Promise<void>;
}

/** Memory that the peers of a listener can fill. */
export interface RpcMemory {
  /** Messages of calls that have not ended, and what else a call takes. */
  readonly calls: MemoryAccount;
  /** Connections without calls and input. */
  readonly connections: MemoryAccount;
  /** Bytes that have been read from the connections and are not handed on yet. */
  readonly input: MemoryAccount;
}

const createRpcMemory = (): RpcMemory => ({
  calls: createMemoryAccount(DEFAULT_CALLS_BYTES),
  connections: createMemoryAccount(DEFAULT_CONNECTIONS_BYTES),
  input: createMemoryAccount(DEFAULT_INPUT_BYTES),
});

/** Limits of what the session of one connection keeps before a call reaches the handler. */
const SESSION_OPTIONS = {
  maxSessionMemory: MAX_SESSION_MEGABYTES,
  maxHeaderListPairs: MAX_CALL_HEAD_FIELDS,
  settings: {
    headerTableSize: HEADER_TABLE_BYTES,
    maxConcurrentStreams: MAX_CONCURRENT_STREAMS_PER_CONNECTION,
    maxHeaderListSize: MAX_CALL_HEAD_BYTES,
  },
} as const;

/** Puts the turns of the connections between them and the server's own handling. */
const wirePacedInput = (server: Http2Server): void => {
  const turns = createTurnQueue();
  const serverListeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    turns.yieldTurn();
    // The server would do so itself if it had the socket.
    socket.setNoDelay(true);
    const stream = createPacedInput(socket, turns);
    // The server reports the session while it handles the connection.
    const sessions: Http2Session[] = [];
    const addSession = (session: Http2Session): void => {
      sessions.push(session);
    };
    server.on('session', addSession);
    for (const listener of serverListeners) listener.call(server, stream);
    server.off('session', addSession);
    // Node.js does not notice the end of a stream that is no socket, and would keep the session.
    stream.once('close', () => {
      for (const session of sessions) session.destroy();
    });
  });
};

/**
 * Creates a listener for calls between the daemons, over HTTP/2 without TLS.
 *
 * @param routes - registers the services that it offers
 * @param memory - memory for all connections and their calls
 * @param messageTimeoutMs - time in which the message of a call must arrive
 * @returns the listener, not yet listening
 */
export const createRpcListener = (
  routes: (router: ConnectRouter) => void,
  memory: RpcMemory = createRpcMemory(),
  messageTimeoutMs: Millis = MESSAGE_TIMEOUT_MS,
): RpcListener => {
  const sessions = new Set<Http2Session>();
  const connections = createPeerConnections([
    { account: memory.connections, bytes: CONNECTION_OVERHEAD_BYTES },
    { account: memory.input, bytes: MAX_INPUT_BYTES },
  ]);
  const handleCall = createRpcHandler(routes, {
    account: memory.calls,
    messageTimeoutMs,
    beginMessage: connections.beginMessage,
    beginWork: connections.beginWork,
  });
  const server = createServer(SESSION_OPTIONS, handleCall);
  server.maxConnections = connections.maxConnections;
  wirePacedInput(server);
  server.on('session', (session) => {
    sessions.add(session);
    connections.add(session);
    session.on('close', () => {
      sessions.delete(session);
      connections.remove(session);
    });
  });
  return {
    listen: async (host, port) => {
      await openListener(server, { host, port });
      const address = server.address();
      const bound = typeof address === 'object' && address !== null ? address.port : port;
      return `http://${host}:${bound.toString()}`;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const session of sessions) session.close();
        // A peer that never ends a stream would otherwise prevent the process from exiting.
        setTimeout(() => {
          for (const session of sessions) session.destroy();
        }, CLOSE_GRACE_MS).unref();
      }),
  };
};

/**
 * Creates the HTTP/2 session to a peer. Pings detect an unresponsive connection that TCP would keep
 * open for minutes.
 *
 * @param url - base URL of the peer
 * @returns the session manager
 */
export const createPeerSession = (url: string): Http2SessionManager =>
  new Http2SessionManager(url, {
    pingIntervalMs: CONNECTION_PING_INTERVAL_MS,
    pingTimeoutMs: CONNECTION_PING_TIMEOUT_MS,
  });
