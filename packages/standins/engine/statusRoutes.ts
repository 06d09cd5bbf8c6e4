import type { FastifyInstance } from 'fastify';
import { Gauge, Registry } from 'prom-client';
import { countUsedTokens } from './scheduler/batch.js';
import { readCacheEvents } from './scheduler/cacheLog.js';
import { computeHealth, computeLoad } from './scheduler/load.js';
import type { SchedulerState } from './scheduler/types.js';
import { CACHE_EVENTS_SCHEMA } from './schemas.js';
import type { EngineViews } from './supervisor.js';
import type { Clock } from '../../core/clock.js';

/** Metrics by name, each with the function that reads its value. */
const METRICS = {
  engine_running_sequences: ({ batch }: SchedulerState) => batch.running.length,
  engine_waiting_sequences: ({ batch }: SchedulerState) => batch.waiting.length,
  engine_memory_used_tokens: (state: SchedulerState) => computeLoad(state, 0).memoryUsedTokens,
  engine_memory_total_tokens: ({ settings }: SchedulerState) => settings.memoryTokens,
  engine_tokens_total: ({ stats }: SchedulerState) => stats.tokens,
  engine_preemptions_total: ({ stats }: SchedulerState) => stats.preemptions,
  engine_overloaded_while_cold_total: ({ stats }: SchedulerState) => stats.overloadedWhileCold,
} as const;

const createMetrics = (views: EngineViews): Registry => {
  const registry = new Registry();
  for (const [name, readValue] of Object.entries(METRICS)) {
    const gauge = new Gauge({
      name,
      help: name.replaceAll('_', ' '),
      registers: [registry],
      collect: () => {
        gauge.set(readValue(views.scheduler.get()));
      },
    });
  }
  return registry;
};

const registerHealthRoutes = (app: FastifyInstance, views: EngineViews, clock: Clock): void => {
  app.get('/health', async () => {
    const state = views.scheduler.get();
    return {
      status: computeHealth(state, clock.now()),
      startId: state.startId,
      model: state.settings.model,
      version: state.version,
    };
  });
  app.get('/load', async () => {
    const { at, ...figures } = views.scheduler.get().published;
    return { ...figures, ageMs: clock.now() - at };
  });
  app.get('/v1/models', async () => {
    const { settings } = views.scheduler.get();
    return {
      object: 'list',
      data: [{ id: settings.model, object: 'model', created: 0, owned_by: 'standin' }],
    };
  });
};

/**
 * Registers the HTTP routes that only read the engine's state.
 *
 * @param app - HTTP server
 * @param views - views of the children's states
 * @param clock - clock for ages and health
 */
export const registerStatusRoutes = (
  app: FastifyInstance,
  views: EngineViews,
  clock: Clock,
): void => {
  const metrics = createMetrics(views);
  registerHealthRoutes(app, views, clock);
  app.get('/metrics', async (_request, reply) =>
    reply.type(metrics.contentType).send(await metrics.metrics()),
  );
  app.get('/cache-events', async (request) => {
    const { from } = CACHE_EVENTS_SCHEMA.parse(request.query);
    const { cacheLog, settings } = views.scheduler.get();
    return readCacheEvents(cacheLog, from, settings.cacheEventLagMs, clock.now());
  });
  const buildCounters = (): object => {
    const { stats, startId, batch, settings } = views.scheduler.get();
    return {
      ...stats,
      startId,
      running: batch.running.length,
      waiting: batch.waiting.length,
      memoryShare: countUsedTokens(batch.running) / settings.memoryTokens,
    };
  };
  // The statistics without the counts by request id, for clients that poll often.
  app.get('/standin/counters', async () => buildCounters());
  app.get('/standin/stats', async () => ({
    ...buildCounters(),
    control: views.control.get(),
    requests: views.scheduler.get().requestCounts.list(),
  }));
};
