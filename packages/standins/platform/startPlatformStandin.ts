import type { FastifyInstance } from 'fastify';
import { DEFAULT_PLATFORM_SETTINGS } from './constants.js';
import { APPEND_SCHEMA, INSTANCE_SCHEMA, PLATFORM_FAULTS_SCHEMA, READ_SCHEMA } from './schemas.js';
import { listPlatformChildren } from './supervisor.js';
import type { PlatformEffect, PlatformEvent, PlatformOptions } from './types.js';
import { createRoutedDaemon, performCommonEffect, startStandin } from '../common/routedDaemon.js';
import { createPendingRequests } from '../common/pendingRequests.js';
import type { PendingRequests } from '../common/pendingRequests.js';
import { createListener } from '../common/listener.js';
import type { Standin } from '../common/types.js';
import { createSystemClock } from '../../core/clock.js';

type Post = (event: PlatformEvent) => void;

const registerLogRoutes = (
  app: FastifyInstance,
  pendingRequests: PendingRequests,
  post: Post,
): void => {
  app.post<{ Params: { stream: string } }>('/streams/:stream/records', async (request, reply) => {
    const { records } = APPEND_SCHEMA.parse(request.body);
    const { stream } = request.params;
    return pendingRequests.handle(request, reply, (id) => {
      post({ to: 'log', kind: 'append', reply: id, stream, records });
    });
  });
  app.get<{ Params: { stream: string } }>('/streams/:stream/records', async (request, reply) => {
    const query = READ_SCHEMA.parse(request.query);
    const { stream } = request.params;
    return pendingRequests.handle(request, reply, (id) => {
      post({ to: 'log', kind: 'read', reply: id, stream, ...query });
    });
  });
};

const registerInstanceRoutes = (
  app: FastifyInstance,
  pendingRequests: PendingRequests,
  post: Post,
): void => {
  app.get('/instances', async (request, reply) =>
    pendingRequests.handle(request, reply, (id) => {
      post({ to: 'instances', kind: 'list-instances', reply: id });
    }),
  );
  app.put<{ Params: { id: string } }>('/instances/:id', async (request, reply) => {
    const instance = { ...INSTANCE_SCHEMA.parse(request.body), id: request.params.id };
    return pendingRequests.handle(request, reply, (id) => {
      post({ to: 'instances', kind: 'put-instance', reply: id, instance });
    });
  });
  app.delete<{ Params: { id: string } }>('/instances/:id', async (request, reply) =>
    pendingRequests.handle(request, reply, (id) => {
      post({ to: 'instances', kind: 'delete-instance', reply: id, id: request.params.id });
    }),
  );
};

const registerWeightsAndFaultRoutes = (
  app: FastifyInstance,
  pendingRequests: PendingRequests,
  post: Post,
): void => {
  app.get<{ Params: { model: string; version: string } }>(
    '/weights/:model/:version',
    async (request, reply) =>
      pendingRequests.handle(request, reply, (id) => {
        post({ to: 'weights', kind: 'fetch-weights', reply: id, ...request.params });
      }),
  );
  app.post('/faults', async (request) => {
    const faults = PLATFORM_FAULTS_SCHEMA.parse(request.body);
    post({ to: 'log', kind: 'set-faults', faults });
    post({ to: 'instances', kind: 'set-faults', faults });
    return faults;
  });
};

/**
 * Starts the stand-in of the platform: log, instance list and weight store.
 *
 * @param options - port, rate limits, retention and delays
 * @returns the running stand-in
 */
export const startPlatformStandin = async (options: PlatformOptions = {}): Promise<Standin> => {
  const { port = 0, ...overrides } = options;
  const settings = { ...DEFAULT_PLATFORM_SETTINGS, ...overrides };
  const clock = createSystemClock();
  const pendingRequests = createPendingRequests();
  const listener = createListener();
  const daemon = createRoutedDaemon<PlatformEvent, PlatformEffect>({
    name: 'platform-standin',
    clock,
    children: listPlatformChildren(settings, clock),
    perform: (effect, loop) => {
      performCommonEffect(effect, { pendingRequests, listener, loop });
    },
  });
  registerLogRoutes(listener.app, pendingRequests, daemon.post);
  registerInstanceRoutes(listener.app, pendingRequests, daemon.post);
  registerWeightsAndFaultRoutes(listener.app, pendingRequests, daemon.post);
  return startStandin(daemon, listener, port);
};
