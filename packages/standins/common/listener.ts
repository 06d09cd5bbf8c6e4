import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { ZodError } from 'zod';
import { MAX_BODY_BYTES } from './constants.js';
import type { Millis } from '../../core/clock.js';

/** HTTP server of a stand-in, with the outages that a stand-in can simulate. */
export interface Listener {
  readonly app: FastifyInstance;
  /** Returns the base URL; may only be called after `open`. */
  readonly getUrl: () => string;
  readonly open: (port: number) => Promise<void>;
  /** Closes every connection and drops new requests for `downMs`, except on exempt paths. */
  readonly crash: (downMs: Millis) => void;
  /** Delays every request until `forMs` have passed, except on exempt paths. */
  readonly freeze: (forMs: Millis) => void;
  readonly close: () => Promise<void>;
}

const isExempt = (url: string): boolean => url.startsWith('/faults') || url.startsWith('/standin/');

const registerErrorHandler = (app: FastifyInstance): void => {
  app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply: FastifyReply) => {
    const status = error instanceof ZodError ? 400 : (error.statusCode ?? 500);
    return reply.code(status).send({ error: { message: error.message, type: 'invalid_request' } });
  });
};

/**
 * Creates the HTTP server of a stand-in on 127.0.0.1. The paths `/faults` and `/standin/*` are
 * exempt from outages: they stay reachable while the stand-in is crashed or frozen, so that a test
 * can read its state and clear its faults.
 *
 * @returns the server, not yet listening
 */
export const createListener = (): Listener => {
  const app = fastify({ logger: false, forceCloseConnections: true, bodyLimit: MAX_BODY_BYTES });
  const sockets = new Map<Socket, 'ordinary' | 'exempt'>();
  const timers = new Set<NodeJS.Timeout>();
  let downUntil = 0;
  let frozenUntil = 0;

  app.server.on('connection', (socket: Socket) => {
    sockets.set(socket, 'ordinary');
    socket.once('close', () => sockets.delete(socket));
  });
  registerErrorHandler(app);

  const waitWhileFrozen = async (): Promise<void> => {
    while (performance.now() < frozenUntil) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(
          () => {
            timers.delete(timer);
            resolve();
          },
          Math.ceil(frozenUntil - performance.now()),
        );
        timers.add(timer);
      });
    }
  };

  app.addHook('onRequest', async (request: FastifyRequest, reply: FastifyReply) => {
    const exempt = isExempt(request.url);
    sockets.set(request.raw.socket, exempt ? 'exempt' : 'ordinary');
    if (exempt) return;
    await waitWhileFrozen();
    if (performance.now() >= downUntil) return;
    reply.hijack();
    request.raw.socket.destroy();
  });

  return {
    app,
    getUrl: () => {
      const address = app.server.address() as AddressInfo;
      return `http://127.0.0.1:${address.port.toString()}`;
    },
    open: async (port) => {
      await app.listen({ host: '127.0.0.1', port });
    },
    crash: (downMs) => {
      downUntil = performance.now() + downMs;
      for (const [socket, kind] of sockets) if (kind === 'ordinary') socket.destroy();
    },
    freeze: (forMs) => {
      frozenUntil = Math.max(frozenUntil, performance.now() + forMs);
    },
    close: async () => {
      for (const timer of timers) clearTimeout(timer);
      for (const socket of sockets.keys()) socket.destroy();
      await app.close();
    },
  };
};
