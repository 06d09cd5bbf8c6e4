import type { FastifyInstance } from 'fastify';
import type { EventLog } from '../events/eventLog.js';
import type { ProcessRole } from '../events/types.js';
import type { Incarnation } from '../ids.js';
import type { Metrics } from '../metrics/metrics.js';

export interface InspectionOptions {
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns why the process should receive no new work now, or null when it is ready. */
  readonly getUnreadyReason: () => string | null;
}

/**
 * Registers the health, metrics and event pages that every daemon serves.
 *
 * @param server - HTTP server of the daemon
 * @param options - sources of the data that the pages show
 */
export const registerInspectionPages = (
  server: FastifyInstance,
  options: InspectionOptions,
): void => {
  const { process, role, incarnation } = options;
  server.get('/healthz', () => ({ status: 'ok', process, role, incarnation }));
  server.get('/readyz', (_request, reply) => {
    const reason = options.getUnreadyReason();
    if (reason === null) return { status: 'ready', process };
    return reply.code(503).send({ status: 'not-ready', process, reason });
  });
  server.get('/metrics', async (_request, reply) => {
    const text = await options.metrics.renderText();
    return reply.type('text/plain; version=0.0.4').send(text);
  });
  server.get<{ Querystring: { from?: string } }>('/debug/events', (request) => {
    const from = Number(request.query.from ?? 0);
    const events = options.events.list(Number.isFinite(from) ? from : 0);
    return { process, role, incarnation, events };
  });
};
