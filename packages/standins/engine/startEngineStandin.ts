import type { FastifyInstance, FastifyRequest } from 'fastify';
import { DEFAULT_ENGINE_SETTINGS } from './constants.js';
import { ENGINE_FAULT_SCHEMA } from './faults.js';
import { createOutputs } from './outputs.js';
import type { OutputMode, Outputs } from './outputs.js';
import { registerStatusRoutes } from './statusRoutes.js';
import { CHAT_SCHEMA, ORDER_SCHEMA } from './schemas.js';
import type { ChatBody } from './schemas.js';
import { buildSubmission } from './submission.js';
import { listEngineChildren } from './supervisor.js';
import type { EngineViews } from './supervisor.js';
import type { EngineEffect, EngineEvent, EngineOptions, EngineSettings } from './types.js';
import { createRoutedDaemon, performCommonEffect, startStandin } from '../common/routedDaemon.js';
import type { CommonAdapters } from '../common/routedDaemon.js';
import { createPendingRequests } from '../common/pendingRequests.js';
import type { PendingRequests } from '../common/pendingRequests.js';
import { createListener } from '../common/listener.js';
import { createView } from '../common/view.js';
import type { Standin } from '../common/types.js';
import { assertNever } from '../../core/assertNever.js';
import { createSystemClock } from '../../core/clock.js';
import { createId } from '../../core/ids.js';
import { createRandomSource } from '../../core/random.js';

type Post = (event: EngineEvent) => void;

const performEffect = (
  effect: EngineEffect,
  outputs: Outputs,
  adapters: CommonAdapters<EngineEvent>,
): void => {
  switch (effect.kind) {
    case 'emit':
      for (const { sequence, index } of effect.tokens) outputs.emit(sequence, index);
      return;
    case 'finish':
      outputs.finish(effect.sequence, effect.reason, effect.usage);
      return;
    case 'refuse':
      outputs.refuse(effect.sequence, effect.status, effect.message);
      return;
    case 'break':
      outputs.break(effect.sequence);
      return;
    case 'answer':
    case 'drop':
    case 'schedule':
    case 'crash':
    case 'freeze':
      performCommonEffect(effect, adapters);
      return;
    default:
      assertNever(effect);
  }
};

const readHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const toOutputMode = (body: ChatBody): OutputMode => {
  if (body.stream !== true) return { kind: 'whole' };
  const withUsage = body.stream_options?.include_usage === true;
  return { kind: 'stream', usage: withUsage ? 'with-usage' : 'without-usage' };
};

const registerChatRoute = (
  app: FastifyInstance,
  settings: EngineSettings,
  outputs: Outputs,
  post: Post,
): void => {
  app.post('/v1/chat/completions', (request, reply) => {
    const body = CHAT_SCHEMA.parse(request.body);
    const sequence = createId().replaceAll('-', '');
    const requestId = readHeader(request, 'x-request-id') ?? sequence;
    const className = readHeader(request, 'x-chestnutspan-class');
    const submission = buildSubmission(sequence, body, { requestId, className }, settings);
    outputs.open(sequence, reply, toOutputMode(body), () => {
      post({ to: 'scheduler', kind: 'cancel', sequence });
    });
    post({ to: 'scheduler', kind: 'submit', submission });
  });
};

const registerControlRoutes = (
  app: FastifyInstance,
  pendingRequests: PendingRequests,
  post: Post,
): void => {
  app.post('/control/order', async (request, reply) => {
    const order = ORDER_SCHEMA.parse(request.body);
    return pendingRequests.handle(request, reply, (id) => {
      post({ to: 'control', kind: 'order', reply: id, order });
    });
  });
  app.post('/faults', async (request) => {
    const fault = ENGINE_FAULT_SCHEMA.parse(request.body);
    post({ to: 'scheduler', kind: 'apply-fault', fault });
    return fault;
  });
};

/**
 * Starts the stand-in of a model engine.
 *
 * @param options - port, model, capacity, step times and delays
 * @returns the running stand-in
 */
export const startEngineStandin = async (options: EngineOptions = {}): Promise<Standin> => {
  const { port = 0, ...overrides } = options;
  const settings = { ...DEFAULT_ENGINE_SETTINGS, ...overrides };
  const clock = createSystemClock();
  const random = createRandomSource(settings.seed);
  const listener = createListener();
  const pendingRequests = createPendingRequests();
  const views: EngineViews = { scheduler: createView(), control: createView() };
  const outputs = createOutputs({
    model: settings.model,
    getVersion: () => views.scheduler.get().version,
  });
  const environment = { now: clock.now, random, createStartId: createId };
  const daemon = createRoutedDaemon<EngineEvent, EngineEffect>({
    name: 'engine-standin',
    clock,
    children: listEngineChildren(settings, environment, views),
    perform: (effect, loop) => {
      performEffect(effect, outputs, { pendingRequests, listener, loop });
    },
  });
  registerChatRoute(listener.app, settings, outputs, daemon.post);
  registerControlRoutes(listener.app, pendingRequests, daemon.post);
  registerStatusRoutes(listener.app, views, clock);
  return startStandin(daemon, listener, port);
};
