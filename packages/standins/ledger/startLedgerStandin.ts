import type { FastifyInstance, FastifyRequest } from 'fastify';
import type { ServiceState } from './service/serviceChild.js';
import { createExecutions } from './service/executions.js';
import type { Executions } from './service/executions.js';
import { EXECUTIONS_SCHEMA, EXECUTION_SCHEMA, LEDGER_FAULT_SCHEMA } from './schemas.js';
import { listLedgerChildren } from './supervisor.js';
import type {
  ExecutionRoute,
  LedgerCall,
  LedgerEffect,
  LedgerEvent,
  LedgerOptions,
  LedgerStandin,
} from './types.js';
import { createRoutedDaemon, performCommonEffect, startStandin } from '../common/routedDaemon.js';
import { createPendingRequests } from '../common/pendingRequests.js';
import type { PendingRequests } from '../common/pendingRequests.js';
import { createListener } from '../common/listener.js';
import { createView } from '../common/view.js';
import { createSystemClock } from '../../core/clock.js';
import { createId } from '../../core/ids.js';

type Post = (event: LedgerEvent) => void;

const DEFAULT_CALL_MS = 2;

const EXECUTION_ROUTES: readonly ExecutionRoute[] = ['sweeps', 'pickups', 'credits'];

const readExecution = (request: FastifyRequest, route: ExecutionRoute): LedgerCall => {
  const body = EXECUTION_SCHEMA.parse(request.body);
  const header = request.headers['idempotency-key'];
  const key = typeof header === 'string' ? header : (body.key ?? '');
  return { kind: 'execute', route, key, amount: body.amount };
};

const registerServiceRoutes = (
  app: FastifyInstance,
  pendingRequests: PendingRequests,
  post: Post,
  getState: () => ServiceState,
): void => {
  app.get<{ Params: { account: string } }>('/balances/:account', async (request, reply) =>
    pendingRequests.handle(request, reply, (id) => {
      const { account } = request.params;
      post({ to: 'service', kind: 'call', reply: id, call: { kind: 'balance', account } });
    }),
  );
  for (const route of EXECUTION_ROUTES) {
    app.post(`/${route}`, async (request, reply) => {
      const call = readExecution(request, route);
      return pendingRequests.handle(request, reply, (id) => {
        post({ to: 'service', kind: 'call', reply: id, call });
      });
    });
  }
  app.get('/health', async () => ({ status: 'ready', startId: getState().startId }));
};

const registerInspectionRoutes = (
  app: FastifyInstance,
  executions: Executions,
  post: Post,
  getState: () => ServiceState,
): void => {
  app.get('/executions', async (request) => {
    const { key } = EXECUTIONS_SCHEMA.parse(request.query);
    return key === undefined ? executions.list() : { key, count: executions.count(key) };
  });
  app.post('/faults', async (request) => {
    const fault = LEDGER_FAULT_SCHEMA.parse(request.body);
    post({ to: 'service', kind: 'apply-fault', fault });
    return fault;
  });
  app.get('/standin/stats', async () => ({ ...getState(), executions: executions.list().total }));
};

/**
 * Starts the stand-in of a plain service. It doesn't deduplicate calls: each call that reaches it
 * is executed.
 *
 * @param options - ports and duration of a call
 * @returns the running stand-in
 */
export const startLedgerStandin = async (options: LedgerOptions = {}): Promise<LedgerStandin> => {
  const pendingRequests = createPendingRequests();
  const executions = createExecutions();
  const listener = createListener();
  const inspection = createListener();
  const serviceView = createView<ServiceState>();
  const callMs = options.callMs ?? DEFAULT_CALL_MS;
  const environment = { executions, callMs, createStartId: createId };
  const daemon = createRoutedDaemon<LedgerEvent, LedgerEffect>({
    name: 'ledger-standin',
    clock: createSystemClock(),
    children: listLedgerChildren(environment, serviceView.publish),
    perform: (effect, loop) => {
      performCommonEffect(effect, { pendingRequests, listener, loop });
    },
  });
  registerServiceRoutes(listener.app, pendingRequests, daemon.post, serviceView.get);
  registerInspectionRoutes(inspection.app, executions, daemon.post, serviceView.get);
  const service = await startStandin(daemon, listener, options.port ?? 0);
  await inspection.open(options.inspectionPort ?? 0);
  return {
    url: service.url,
    inspectionUrl: inspection.getUrl(),
    close: async () => {
      await service.close();
      await inspection.close();
    },
  };
};
