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

/** Listening side of the messages between our processes. */
export interface RpcListener {
  /** Starts to listen and returns the base URL. */
  readonly listen: (host: string, port: number) => Promise<string>;
  /** Accepts no more calls and ends when the running ones have ended. */
  readonly close: () => Promise<void>;
}

/**
 * Creates a listener for calls between our processes, over HTTP/2 without TLS.
 *
 * @param routes - services that it offers
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
    listen: (host, port) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => {
          const address = server.address();
          const bound = typeof address === 'object' && address !== null ? address.port : port;
          resolve(`http://${host}:${bound.toString()}`);
        });
      }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const session of sessions) session.close();
        // A peer that never ends a stream would keep the process from its exit.
        setTimeout(() => {
          for (const session of sessions) session.destroy();
        }, CLOSE_GRACE_MS).unref();
      }),
  };
};

/**
 * Creates the connection to a peer. Pings find a frozen link that TCP would keep for minutes.
 *
 * @param url - base URL of the peer
 * @returns the session manager
 */
export const createPeerSession = (url: string): Http2SessionManager =>
  new Http2SessionManager(url, {
    pingIntervalMs: CONNECTION_PING_INTERVAL_MS,
    pingTimeoutMs: CONNECTION_PING_TIMEOUT_MS,
  });
