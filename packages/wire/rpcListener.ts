import { createServer } from 'node:http2';
import type { Http2Session } from 'node:http2';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter, Http2SessionManager } from '@connectrpc/connect-node';
import {
  CLOSE_GRACE_MS,
  CONNECTION_PING_INTERVAL_MS,
  CONNECTION_PING_TIMEOUT_MS,
  MAX_CONCURRENT_STREAMS_PER_CONNECTION,
  MAX_MESSAGE_BYTES,
} from './constants.js';
import { openListener } from '../core/openAddress.js';

/** Server side of the calls between the daemons. */
export interface RpcListener {
  /** Starts listening and resolves to the base URL. */
  readonly listen: (host: string, port: number) => Promise<string>;
  /** Accepts no new calls; resolves once running ones end or the grace period is over. */
  readonly close: () => Promise<void>;
}

/**
 * Creates a listener for calls between the daemons, over HTTP/2 without TLS.
 *
 * @param routes - registers the services that it offers
 * @returns the listener, not yet listening
 */
export const createRpcListener = (routes: (router: ConnectRouter) => void): RpcListener => {
  const sessions = new Set<Http2Session>();
  const server = createServer(
    { settings: { maxConcurrentStreams: MAX_CONCURRENT_STREAMS_PER_CONNECTION } },
    connectNodeAdapter({
      routes,
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    }),
  );
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
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
