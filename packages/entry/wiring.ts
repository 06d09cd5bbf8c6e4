import { createHash } from 'node:crypto';
import { asFunction, asValue, createContainer } from 'awilix';
import type { AwilixContainer } from 'awilix';
import { classifyEvent } from './classify.js';
import type { EntryEffect, EntryEvent, OperatorOutcome } from './events.js';
import { createCallerServer } from './frontend/callerServer.js';
import type { CallerMemory, CallerServer } from './frontend/callerServer.js';
import { HAND_OVER_GRACE_MS } from './frontend/constants.js';
import { createGateLogic } from './frontend/gate.js';
import { createResponders } from './frontend/responders.js';
import type { Responders } from './frontend/responders.js';
import { createTicketIssuer } from './frontend/tickets.js';
import type { TicketIssuer } from './frontend/tickets.js';
import { createEntryMemory } from './memory.js';
import type { EntryMemory } from './memory.js';
import { createHeartbeatServer } from './membership/heartbeatServer.js';
import type { HeartbeatServer } from './membership/heartbeatServer.js';
import { createMembershipLogic, listViews } from './membership/membership.js';
import { CHAT_ROUTE, chooseMoveVersion, createMovesLogic } from './moves/moves.js';
import { createOperatorLogic } from './operator/operator.js';
import { registerOperatorRoutes } from './operator/operatorRoutes.js';
import { createNotifier } from './operator/webhook.js';
import type { MoveRow, OperatorReplies } from './operator/operatorRoutes.js';
import { performEffect } from './perform.js';
import { createAppendsLogic } from './platform/appends/appends.js';
import { LIST_TIMEOUT_MS, LOG_TIMEOUT_MS } from './platform/constants.js';
import { createControlLogic } from './platform/control/control.js';
import { createIntentsLogic } from './platform/intents/intents.js';
import { createListLogic } from './platform/list/list.js';
import { createPlatformAdapter } from './platform/platformAdapter.js';
import type { PlatformAdapter } from './platform/platformAdapter.js';
import { createEndpointClient } from './requests/endpointClient.js';
import type { EndpointClient } from './requests/endpointMessages.js';
import type { RequestsInputs } from './requests/inputs.js';
import { createSuspicions } from './requests/suspicions.js';
import { createRequestsLogic } from './requests/requests.js';
import { createEntrySupervisor } from './supervisor.js';
import type { EntryLogics, EntryStates } from './supervisor.js';
import { createSystemClock } from '../core/clock.js';
import type { Clock } from '../core/clock.js';
import { createConsolaWriter } from '../core/events/consolaWriter.js';
import { createEventLog } from '../core/events/eventLog.js';
import type { EventLog } from '../core/events/eventLog.js';
import { registerInspectionPages } from '../core/http/inspectionPages.js';
import { createId } from '../core/ids.js';
import { wireMemoryReports } from '../core/memory/memoryReports.js';
import { createMetrics } from '../core/metrics/metrics.js';
import type { Metrics } from '../core/metrics/metrics.js';
import { createRandomSource } from '../core/random.js';
import { createDaemon } from '../core/supervision/daemon.js';
import type { Daemon } from '../core/supervision/daemon.js';
import { createFailureReports } from '../core/supervision/failureReports.js';
import { startSupervisor } from '../core/supervision/supervisor.js';
import { decideDelta, toSnapshot } from '../decisions/configuration/exchange.js';
import { countKeys, findChain } from '../decisions/idempotency/table.js';
import { getNewVersionShare } from '../decisions/moves/move.js';
import { createPlacementTable } from '../decisions/placement/placementTable.js';
import { createSendOwner } from '../decisions/retries/sendOwner.js';
import { createSurvivalTable } from '../decisions/survival/survivalTable.js';
import { createListClient } from '../platform/client/listClient.js';
import { createLogClient } from '../platform/client/logClient.js';
import type { EntrySettings } from '../settings/types.js';

/** Why a daemon ends: its drain has finished, or an error escaped the supervisor tree. */
export type EndReason =
  | { readonly kind: 'drained'; readonly left: number }
  | { readonly kind: 'fault'; readonly error: unknown };

/** Components of an entry daemon, by their names in the dependency container. */
export interface EntryCradle {
  readonly settings: EntrySettings;
  readonly onEnd: (reason: EndReason) => void;
  readonly clock: Clock;
  readonly incarnation: string;
  readonly states: EntryStates;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly memory: EntryMemory;
  readonly responders: Responders;
  readonly tickets: TicketIssuer;
  readonly heartbeats: HeartbeatServer;
  readonly platform: PlatformAdapter;
  readonly endpoints: EndpointClient;
  readonly requestsInputs: RequestsInputs;
  readonly logics: EntryLogics;
  readonly callers: CallerServer;
  /** Set when the operator routes are registered with the callers' server. */
  readonly operatorReplies: { current: OperatorReplies | null };
  readonly daemon: Daemon<EntryEvent>;
}

const buildEventLog = ({ settings, incarnation, clock }: EntryCradle): EventLog =>
  createEventLog({
    process: settings.process,
    role: 'entry',
    incarnation,
    clock,
    write: createConsolaWriter(settings.log.format),
  });

const buildHeartbeatServer = (cradle: EntryCradle): HeartbeatServer =>
  createHeartbeatServer(
    (heartbeatId, heartbeat) =>
      cradle.daemon.loop.post({
        to: 'membership',
        kind: 'heartbeat-received',
        heartbeatId,
        heartbeat,
      }),
    {
      calls: cradle.memory.accounts['rpc-calls'],
      connections: cradle.memory.accounts['rpc-connections'],
      input: cradle.memory.accounts['rpc-input'],
    },
  );

const buildPlatformAdapter = (cradle: EntryCradle): PlatformAdapter => {
  const { logUrl, listUrl } = cradle.settings.platform;
  return createPlatformAdapter(
    createLogClient({ baseUrl: logUrl, timeoutMs: LOG_TIMEOUT_MS }),
    createListClient({ baseUrl: listUrl, timeoutMs: LIST_TIMEOUT_MS }),
    (event) => {
      cradle.daemon.loop.post(event);
    },
  );
};

const buildEndpointClient = (cradle: EntryCradle): EndpointClient =>
  createEndpointClient(cradle.settings.process, cradle.clock.now, (completion) => {
    cradle.daemon.loop.post({ to: 'requests', kind: 'endpoint-completed', completion });
  });

const buildRequestsInputs = (cradle: EntryCradle): RequestsInputs => {
  const { settings, clock, states } = cradle;
  const customers = new Map(settings.customers.map((customer) => [customer.id, customer]));
  const survival = createSurvivalTable();
  return {
    now: clock.now,
    random: createRandomSource(Number.parseInt(cradle.incarnation.slice(-8), 16) | 0),
    createId,
    process: settings.process,
    dataCentre: settings.dataCentre,
    models: settings.models,
    placementPolicy: settings.policy,
    limits: settings.limits,
    getDefaultClass: (customer) => customers.get(customer)?.defaultClass,
    getClasses: () => states.control.view.classes,
    listEndpoints: () => listViews(states.membership, clock.now()),
    findHeartbeat: (endpoint) => states.membership.table.endpoints.get(endpoint)?.newest?.report,
    getCustomerWeight: (customer) => customers.get(customer)?.weight ?? 1,
    chooseVersion: (model, requestId) =>
      chooseMoveVersion(states.moves, model, requestId, hashToUint32),
    getQuarantined: () => states.control.view.quarantined,
    sends: createSendOwner(clock.now()),
    suspicions: createSuspicions(),
    findChain: (customer, key) => findChain(states.intents.table, customer, key),
    getIntentLog: () => {
      const { table, log } = states.intents;
      const { standing, nextOffset } = table;
      return { log, standing, nextOffset, keyCounts: countKeys(table) };
    },
    placements: createPlacementTable(survival),
    survival,
  };
};

const buildLogics = (cradle: EntryCradle): EntryLogics => {
  const { settings, clock, states, requestsInputs } = cradle;
  const { now } = clock;
  return {
    list: createListLogic(settings.instance),
    appends: createAppendsLogic(now),
    intents: createIntentsLogic({ now, keys: settings.limits }),
    control: createControlLogic({
      now,
      createId,
      process: settings.process,
      listPeers: () => listPeerUrls(states, settings.instance),
      choosePeer: (peers) => peers[Math.floor(requestsInputs.random.next() * peers.length)],
    }),
    moves: createMovesLogic({
      now,
      createId,
      process: settings.process,
      webhook: settings.webhookUrl === undefined ? 'none' : 'set',
      hash: hashToUint32,
      listMoves: () => states.control.view.moves,
    }),
    operator: createOperatorLogic({ getConfiguration: () => states.control.configuration }),
    membership: createMembershipLogic({
      now,
      getDelta: (offset) => decideDelta(states.control.configuration, offset),
    }),
    requests: createRequestsLogic(requestsInputs),
    frontend: createGateLogic({
      now,
      drain: { startedAt: null },
      drainMs: settings.drainMs,
      handOverGraceMs: HAND_OVER_GRACE_MS,
      // A request that has been read whole may wait until it is parsed.
      countOpen: () => Math.max(states.requests.table.size, cradle.callers.countDue()),
    }),
  };
};

const listPeerUrls = (states: EntryStates, instance: string): readonly string[] =>
  states.list.instances
    .filter(({ id, role, state }) => role === 'entry' && id !== instance && state === 'live')
    .map(({ httpUrl }) => httpUrl);

const listMoveRows = (states: EntryStates): readonly MoveRow[] =>
  [...states.moves.moves.values()].map(({ view, state, reason }) => ({
    name: view.name,
    model: view.model,
    from: view.from,
    to: view.to,
    deadline: view.deadline,
    share: getNewVersionShare(state, CHAT_ROUTE),
    state: view.ended?.outcome ?? state.phase,
    reason: view.ended?.reason ?? reason,
  }));

const HASH_ALGORITHM = 'sha256';

const hashToUint32 = (text: string): number =>
  createHash(HASH_ALGORITHM).update(text).digest().readUInt32BE(0);

const getUnreadyReason = (states: EntryStates): string | null => {
  if (states.frontend.phase !== 'accepting') return 'draining';
  if (states.control.source === 'none') return 'the configuration has not been read yet';
  return states.membership.views.size === 0 ? 'no endpoint is known' : null;
};

const buildCallerMemory = ({ memory: { accounts } }: EntryCradle): CallerMemory => ({
  connections: accounts['caller-connections'],
  unparsed: accounts.unparsed,
  requests: accounts.requests,
  bodies: accounts['request-bodies'],
});

const buildReportedMetrics = ({ clock, events, memory, metrics }: EntryCradle): Metrics =>
  wireMemoryReports({ clock, events, memory, metrics, prefix: 'entry' });

const buildCallerServer = (cradle: EntryCradle): CallerServer => {
  const { settings, clock, responders, states } = cradle;
  const callers = createCallerServer({
    memory: buildCallerMemory(cradle),
    settings,
    clock,
    responders,
    postRequest: (request) =>
      cradle.daemon.loop.post({ to: 'frontend', kind: 'request-arrived', request }),
    postCallerGone: (requestId) => {
      cradle.daemon.loop.post({ to: 'requests', kind: 'caller-disconnected', requestId });
    },
    listModels: () => settings.models,
  });
  const { server } = callers;
  server.get('/peer/configuration', () => toSnapshot(states.control.configuration));
  cradle.operatorReplies.current = registerOperatorRoutes(server, {
    operators: settings.operators,
    getConfiguration: () => states.control.configuration,
    listMoves: () => listMoveRows(states),
    post: (event) => cradle.daemon.loop.post(event),
  });
  registerInspectionPages(server, {
    process: settings.process,
    role: 'entry',
    incarnation: cradle.incarnation,
    events: cradle.events,
    metrics: buildReportedMetrics(cradle),
    getUnreadyReason: () => getUnreadyReason(states),
  });
  return callers;
};

const buildDaemon = (cradle: EntryCradle): Daemon<EntryEvent> => {
  const { clock, events, states, metrics, responders, tickets } = cradle;
  const adapters = {
    loop: () => daemon.loop,
    events,
    metrics,
    responders,
    tickets,
    heartbeats: cradle.heartbeats,
    platform: cradle.platform,
    endpoints: cradle.endpoints,
    replyOperator: (operationId: string, outcome: OperatorOutcome) => {
      cradle.operatorReplies.current?.send(operationId, outcome);
    },
    notifyOperators: createNotifier(cradle.settings.webhookUrl, events),
    endProcess: (left: number) => {
      cradle.onEnd({ kind: 'drained', left });
    },
  };
  const { onFailure, onFault } = createFailureReports(events, cradle.onEnd);
  const spec = createEntrySupervisor(cradle.logics, states, clock, onFailure);
  const daemon = createDaemon<EntryEvent, EntryEffect>({
    classify: classifyEvent,
    startRoot: () => startSupervisor(spec, clock, onFailure),
    perform: (effect) => {
      performEffect(effect, adapters);
    },
    onFault,
  });
  return daemon;
};

/**
 * Builds the dependency container of an entry daemon.
 *
 * @param settings - validated settings
 * @param onEnd - called when the daemon has drained or failed, so that its process can end
 * @returns the container
 */
export const wireEntryDaemon = (
  settings: EntrySettings,
  onEnd: (reason: EndReason) => void,
): AwilixContainer<EntryCradle> => {
  const container = createContainer<EntryCradle>({ injectionMode: 'PROXY', strict: true });
  container.register({
    settings: asValue(settings),
    onEnd: asValue(onEnd),
    clock: asFunction(createSystemClock).singleton(),
    incarnation: asFunction(createId).singleton(),
    // Starts empty. Children start in the declared order, so each publishes its state before use.
    states: asValue({} as EntryStates),
    events: asFunction(buildEventLog).singleton(),
    metrics: asFunction(createMetrics).singleton(),
    memory: asFunction(() => createEntryMemory(settings)).singleton(),
    responders: asFunction(createResponders).singleton(),
    tickets: asFunction(({ clock }: EntryCradle) =>
      createTicketIssuer(settings.ticketKey, clock),
    ).singleton(),
    heartbeats: asFunction(buildHeartbeatServer).singleton(),
    platform: asFunction(buildPlatformAdapter).singleton(),
    endpoints: asFunction(buildEndpointClient).singleton(),
    requestsInputs: asFunction(buildRequestsInputs).singleton(),
    logics: asFunction(buildLogics).singleton(),
    operatorReplies: asValue({ current: null }),
    callers: asFunction(buildCallerServer).singleton(),
    daemon: asFunction(buildDaemon).singleton(),
  });
  return container;
};
