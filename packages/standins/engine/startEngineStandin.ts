import type { FastifyInstance, FastifyRequest } from 'fastify';
import { DEFAULT_ENGINE_SETTINGS } from './constants.js';
import type { ControlState } from './control/controlChild.js';
import { ENGINE_FAULT_SCHEMA } from './faults.js';
import { createOutputs } from './outputs.js';
import type { OutputMode, Outputs } from './outputs.js';
import { registerPages } from './pages.js';
import type { SchedulerState } from './scheduler/types.js';
import { CHAT_SCHEMA, ORDER_SCHEMA } from './schemas.js';
import type { ChatBody } from './schemas.js';
import { buildSubmission } from './submission.js';
import { startEngineSupervisor } from './supervisor.js';
import type { EngineEffect, EngineEvent, EngineOptions, EngineSettings } from './types.js';
import { createExchange } from '../common/exchange.js';
import type { Exchange } from '../common/exchange.js';
import { createListener } from '../common/listener.js';
import type { Listener } from '../common/listener.js';
import type { Standin } from '../common/types.js';
import { assertNever } from '../../core/assertNever.js';
import { createSystemClock } from '../../core/clock.js';
import { createId } from '../../core/ids.js';
import type { Loop } from '../../core/loop/types.js';
import { createRandomSource } from '../../core/random.js';
import { createDaemon } from '../../core/supervision/daemon.js';

type Post = (event: EngineEvent) => void;

interface Adapters {
  readonly outputs: Outputs;
  readonly exchange: Exchange;
  readonly listener: Listener;
}

const performEffect = (effect: EngineEffect, adapters: Adapters, loop: Loop<EngineEvent>): void => {
  const { outputs, exchange, listener } = adapters;
  switch (effect.kind) {
    case 'schedule':
      loop.schedule(effect.delayMs, effect.event);
      return;
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
    case 'crash':
      listener.crash(effect.downMs);
      return;
    case 'freeze':
      listener.freeze(effect.forMs);
      return;
    case 'answer':
      exchange.answer(effect.reply, effect.answer);
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

const registerControlRoutes = (app: FastifyInstance, exchange: Exchange, post: Post): void => {
  app.post('/control/order', async (request, reply) => {
    const order = ORDER_SCHEMA.parse(request.body);
    return exchange.handle(request, reply, (id) => {
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
 * @param options - port, sizes and speeds
 * @returns the running stand-in
 */
export const startEngineStandin = async (options: EngineOptions = {}): Promise<Standin> => {
  const { port = 0, ...given } = options;
  const settings = { ...DEFAULT_ENGINE_SETTINGS, ...given };
  const clock = createSystemClock();
  const random = createRandomSource(settings.seed);
  const listener = createListener();
  const exchange = createExchange();
  let scheduler: SchedulerState | undefined;
  let control: ControlState | undefined;
  const raise = (error: unknown): never => {
    throw error;
  };
  const getScheduler = (): SchedulerState => scheduler ?? raise(new Error('not started'));
  const getControl = (): ControlState => control ?? raise(new Error('not started'));
  const outputs = createOutputs({
    model: settings.model,
    getVersion: () => getScheduler().version,
  });
  const adapters = { outputs, exchange, listener };
  const daemon = createDaemon<EngineEvent, EngineEffect>({
    classify: () => 'control',
    startRoot: () =>
      startEngineSupervisor(
        settings,
        { now: clock.now, random, createStartId: createId },
        {
          scheduler: (state) => {
            scheduler = state;
          },
          control: (state) => {
            control = state;
          },
        },
        ({ error }) => raise(error),
      ),
    perform: (effect) => {
      performEffect(effect, adapters, daemon.loop);
    },
    onFault: raise,
  });
  const post: Post = (event) => {
    daemon.loop.post(event);
  };
  registerChatRoute(listener.app, settings, outputs, post);
  registerControlRoutes(listener.app, exchange, post);
  registerPages(listener.app, { getScheduler, getControl }, clock);
  daemon.start();
  await listener.open(port);
  return {
    url: listener.getUrl(),
    close: async () => {
      daemon.stop();
      await listener.close();
    },
  };
};
