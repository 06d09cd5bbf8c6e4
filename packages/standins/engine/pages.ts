import type { FastifyInstance } from 'fastify';
import { Gauge, Registry } from 'prom-client';
import type { ControlState } from './control/controlChild.js';
import { readCacheEvents } from './scheduler/cacheLog.js';
import { computeHealth, computeLoad } from './scheduler/load.js';
import type { SchedulerState } from './scheduler/types.js';
import { CACHE_EVENTS_SCHEMA } from './schemas.js';
import type { Clock } from '../../core/clock.js';

/** States that the pages read. */
export interface PageViews {
  readonly getScheduler: () => SchedulerState;
  readonly getControl: () => ControlState;
}

const METRICS = {
  engine_running_sequences: ({ batch }: SchedulerState) => batch.running.length,
  engine_waiting_sequences: ({ batch }: SchedulerState) => batch.waiting.length,
  engine_memory_used_tokens: (state: SchedulerState) => computeLoad(state, 0).memoryUsedTokens,
  engine_memory_total_tokens: ({ settings }: SchedulerState) => settings.memoryTokens,
  engine_tokens_total: ({ stats }: SchedulerState) => stats.tokens,
  engine_preemptions_total: ({ stats }: SchedulerState) => stats.preemptions,
  engine_overloaded_while_cold_total: ({ stats }: SchedulerState) => stats.overloadedWhileCold,
} as const;

const createMetrics = (views: PageViews): Registry => {
  const registry = new Registry();
  for (const [name, measureValue] of Object.entries(METRICS)) {
    const gauge = new Gauge({
      name,
      help: name.replaceAll('_', ' '),
      registers: [registry],
      collect: () => {
        gauge.set(measureValue(views.getScheduler()));
      },
    });
  }
  return registry;
};

const registerHealthPages = (app: FastifyInstance, views: PageViews, clock: Clock): void => {
  app.get('/health', async () => {
    const state = views.getScheduler();
    return {
      status: computeHealth(state, clock.now()),
      startId: state.startId,
      model: state.settings.model,
      version: state.version,
    };
  });
  app.get('/load', async () => {
    const { at, ...figures } = views.getScheduler().published;
    return { ...figures, ageMs: clock.now() - at };
  });
  app.get('/v1/models', async () => {
    const { settings } = views.getScheduler();
    return {
      object: 'list',
      data: [{ id: settings.model, object: 'model', created: 0, owned_by: 'standin' }],
    };
  });
};

/**
 * Registers the pages that only read the engine's state.
 *
 * @param app - HTTP server
 * @param views - states to read
 * @param clock - current time
 */
export const registerPages = (app: FastifyInstance, views: PageViews, clock: Clock): void => {
  const metrics = createMetrics(views);
  registerHealthPages(app, views, clock);
  app.get('/metrics', async (_request, reply) =>
    reply.type(metrics.contentType).send(await metrics.metrics()),
  );
  app.get('/cache-events', async (request) => {
    const { from } = CACHE_EVENTS_SCHEMA.parse(request.query);
    const { cacheLog, settings } = views.getScheduler();
    return readCacheEvents(cacheLog, from, settings.cacheEventLagMs, clock.now());
  });
  app.get('/standin/stats', async () => {
    const { stats, counts, startId, batch } = views.getScheduler();
    const { running, waiting } = batch;
    return {
      ...stats,
      startId,
      running: running.length,
      waiting: waiting.length,
      control: views.getControl(),
      requests: counts.list(),
    };
  });
};
