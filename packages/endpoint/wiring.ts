import { createHash } from 'node:crypto';
import { asFunction, asValue, createContainer } from 'awilix';
import type { AwilixContainer } from 'awilix';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { createCallsLogic } from './calls/calls.js';
import { classifyEvent } from './classify.js';
import { createEngineLogic } from './engine/engine.js';
import { createEngineClient } from './engine/engineClient.js';
import type { EngineClient } from './engine/engineClient.js';
import { createEntryClient } from './heartbeats/entryClient.js';
import type { EntryClient } from './heartbeats/entryClient.js';
import { createHeartbeatsLogic } from './heartbeats/heartbeats.js';
import { PAGE_REQUEST_TIMEOUT_MS } from './rpc/constants.js';
import { createEndpointMemory } from './memory.js';
import type { EndpointMemory } from './memory.js';
import { createListAdapter } from './platform/listAdapter.js';
import type { ListAdapter } from './platform/listAdapter.js';
import { createPlatformLogic } from './platform/platform.js';
import { performEffect } from './perform.js';
import { createGateLogic } from './rpc/gate.js';
import { createRpcServer } from './rpc/rpcServer.js';
import type { RpcServer } from './rpc/rpcServer.js';
import { createStreamsLogic } from './streams/streams.js';
import { createEndpointSupervisor } from './supervisor.js';
import type { EndpointLogics, EndpointStates } from './supervisor.js';
import { describeEndpoint, getAcceptedGap, getClassTargets, getUnreadyReason } from './views.js';
import type { EndpointEffect, EndpointEvent } from './types.js';
import { createSystemClock } from '../core/clock.js';
import type { Clock } from '../core/clock.js';
import { createConsolaWriter } from '../core/events/consolaWriter.js';
import { createEventLog } from '../core/events/eventLog.js';
import type { EventLog } from '../core/events/eventLog.js';
import { createPacedListener } from '../core/http/pacing/pacedListener.js';
import { registerInspectionPages } from '../core/http/inspectionPages.js';
import { createId } from '../core/ids.js';
import { wireMemoryReports } from '../core/memory/memoryReports.js';
import { createMetrics } from '../core/metrics/metrics.js';
import type { Metrics } from '../core/metrics/metrics.js';
import { createDaemon } from '../core/supervision/daemon.js';
import type { Daemon } from '../core/supervision/daemon.js';
import { createFailureReports } from '../core/supervision/failureReports.js';
import { startSupervisor } from '../core/supervision/supervisor.js';
import { DEFAULT_ADMISSION_SETTINGS } from '../decisions/admission/constants.js';
import { DEFAULT_NONCE_SETTINGS } from '../decisions/idempotency/constants.js';
import { createNonceTable } from '../decisions/idempotency/nonces.js';
import { READER_WINDOW_CHUNKS } from '../decisions/streams/constants.js';
import { computePriority } from '../decisions/preemption/preemption.js';
import { createSurvivalTable } from '../decisions/survival/survivalTable.js';
import type { EndpointSettings } from '../settings/types.js';

/** Components of an endpoint daemon, by their names in the dependency container. */
export interface EndpointCradle {
  readonly settings: EndpointSettings;
  readonly onEnd: (reason: EndReason) => void;
  readonly clock: Clock;
  readonly incarnation: string;
  readonly urls: { rpc: string; http: string };
  readonly states: EndpointStates;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly memory: EndpointMemory;
  readonly engine: EngineClient;
  readonly rpc: RpcServer;
  readonly entries: EntryClient;
  readonly list: ListAdapter;
  readonly logics: EndpointLogics;
  readonly http: FastifyInstance;
  readonly daemon: Daemon<EndpointEvent>;
}

/** Why a daemon ends: its drain has finished, or an error escaped the supervisor tree. */
export type EndReason =
  | { readonly kind: 'drained'; readonly left: number }
  | { readonly kind: 'fault'; readonly error: unknown };

const HASH_BYTES = 6;

const hashToUint48 = (text: string): number =>
  createHash('sha256').update(text).digest().readUIntBE(0, HASH_BYTES);

const hashBody = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64url');

const buildEventLog = ({ settings, incarnation, clock }: EndpointCradle): EventLog =>
  createEventLog({
    process: settings.process,
    role: 'endpoint',
    incarnation,
    clock,
    write: createConsolaWriter(settings.log.format),
  });

const buildEngineClient = (cradle: EndpointCradle): EngineClient => {
  const { target } = cradle.settings;
  const url = target.kind === 'model' ? target.engineUrl : target.serviceUrl;
  return createEngineClient(url, cradle.clock, (event) => {
    cradle.daemon.loop.post(event);
  });
};

const buildRpcServer = (cradle: EndpointCradle): RpcServer =>
  createRpcServer(cradle.incarnation, cradle.clock.now, (event) => cradle.daemon.loop.post(event), {
    calls: cradle.memory.accounts['rpc-calls'],
    connections: cradle.memory.accounts['rpc-connections'],
    input: cradle.memory.accounts['rpc-input'],
  });

const buildEntryClient = (cradle: EndpointCradle): EntryClient => {
  const { settings, incarnation, urls } = cradle;
  const { target } = settings;
  const getIdentity = () => ({
    endpoint: settings.endpoint,
    instance: settings.instance,
    dataCentre: settings.dataCentre,
    incarnation,
    model: target.kind === 'model' ? target.model : '',
    version: target.version,
    service: target.kind === 'service' ? target.service : '',
    rpcUrl: urls.rpc,
    httpUrl: urls.http,
  });
  return createEntryClient(getIdentity, settings.heartbeat.intervalMs, (event) => {
    cradle.daemon.loop.post(event);
  });
};

const buildListAdapter = (cradle: EndpointCradle): ListAdapter =>
  createListAdapter(cradle.settings.platform.listUrl, cradle.settings.instance, (event) => {
    cradle.daemon.loop.post(event);
  });

const buildLogics = (cradle: EndpointCradle): EndpointLogics => {
  const { settings, clock, incarnation, states } = cradle;
  const { now } = clock;
  const nonces = createNonceTable(incarnation, {
    ...DEFAULT_NONCE_SETTINGS,
    answerRetentionMs: settings.answers.retentionMs,
    maxAnswerBytes: settings.answers.maxBytes,
  });
  return {
    platform: createPlatformLogic(),
    engine: createEngineLogic({
      now,
      target: settings.target.kind,
      version: settings.target.version,
      getAdmissionSettings: () => ({
        ...DEFAULT_ADMISSION_SETTINGS,
        startLimit: settings.admission.startLimit,
        maxLimit: settings.admission.maxLimit,
        evidenceTokens: settings.admission.evidenceTokens,
        acceptedGapMs: getAcceptedGap(states),
      }),
      survival: createSurvivalTable(),
      findTargets: (className, importance) => getClassTargets(states, className, importance),
      findThresholds: (className) => states.heartbeats.view.classes.get(className),
    }),
    streams: createStreamsLogic({
      now,
      nonces,
      hashBody,
      choosePriority: ({ className, importance }) =>
        computePriority(getClassTargets(states, className, importance), 'lower-first'),
      limits: {
        maxChunks: settings.buffer.maxChunks,
        maxBytes: settings.buffer.maxTotalBytes,
        windowChunks: READER_WINDOW_CHUNKS,
        orphans: 'cancelled',
      },
    }),
    calls: createCallsLogic({ now, nonces, hashBody }),
    heartbeats: createHeartbeatsLogic({
      now,
      endpoint: settings.endpoint,
      dataCentre: settings.dataCentre,
      incarnation,
      startedAt: now(),
      intervalMs: settings.heartbeat.intervalMs,
      subsetSize: settings.heartbeat.subsetSize,
      hash: hashToUint48,
      getEntries: () => states.platform.entries,
      describeEndpoint: () => describeEndpoint(states, now()),
    }),
    rpc: createGateLogic({
      now,
      drain: { startedAt: null },
      drainMs: settings.drainMs,
      getLease: () => states.heartbeats.lease,
      countOpenWork: () => states.streams.readers.size + states.calls.running.size,
    }),
  };
};

const buildReportedMetrics = ({ clock, events, memory, metrics }: EndpointCradle): Metrics =>
  wireMemoryReports({ clock, events, memory, metrics, prefix: 'endpoint' });

const buildHttpServer = (cradle: EndpointCradle): FastifyInstance => {
  const { accounts } = cradle.memory;
  const server = fastify({ forceCloseConnections: true, requestTimeout: PAGE_REQUEST_TIMEOUT_MS });
  const listener = createPacedListener(server.server, cradle.clock, {
    connections: accounts['page-connections'],
    unparsed: accounts['page-unparsed'],
    requests: accounts['page-requests'],
  });
  server.addHook('onRequest', (request, reply, done) => {
    if (listener.checkRoom(request.raw) === 'reserved') done();
    else void reply.code(503).header('connection', 'close').send({ status: 'overloaded' });
  });
  registerInspectionPages(server, {
    process: cradle.settings.process,
    role: 'endpoint',
    incarnation: cradle.incarnation,
    events: cradle.events,
    metrics: buildReportedMetrics(cradle),
    getUnreadyReason: () => getUnreadyReason(cradle.states),
  });
  return server;
};

const buildDaemon = (cradle: EndpointCradle): Daemon<EndpointEvent> => {
  const { clock, events, states } = cradle;
  const adapters = {
    loop: () => daemon.loop,
    events,
    engine: cradle.engine,
    rpc: cradle.rpc,
    entries: cradle.entries,
    fetchList: cradle.list.fetchList,
    endProcess: (left: number) => {
      cradle.onEnd({ kind: 'drained', left });
    },
  };
  const { onFailure, onFault } = createFailureReports(events, cradle.onEnd);
  const spec = createEndpointSupervisor(cradle.logics, states);
  const daemon = createDaemon<EndpointEvent, EndpointEffect>({
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
 * Builds the dependency container of an endpoint daemon.
 *
 * @param settings - validated settings
 * @param onEnd - called when the daemon has drained or failed, so that its process can end
 * @returns the container
 */
export const wireEndpointDaemon = (
  settings: EndpointSettings,
  onEnd: (reason: EndReason) => void,
): AwilixContainer<EndpointCradle> => {
  const container = createContainer<EndpointCradle>({ injectionMode: 'PROXY', strict: true });
  container.register({
    settings: asValue(settings),
    onEnd: asValue(onEnd),
    clock: asFunction(createSystemClock).singleton(),
    incarnation: asFunction(createId).singleton(),
    urls: asValue({ rpc: '', http: '' }),
    // Starts empty. Children start in the declared order, so each publishes its state before use.
    states: asValue({} as EndpointStates),
    events: asFunction(buildEventLog).singleton(),
    metrics: asFunction(createMetrics).singleton(),
    memory: asFunction(() => createEndpointMemory(settings)).singleton(),
    engine: asFunction(buildEngineClient).singleton(),
    rpc: asFunction(buildRpcServer).singleton(),
    entries: asFunction(buildEntryClient).singleton(),
    list: asFunction(buildListAdapter).singleton(),
    logics: asFunction(buildLogics).singleton(),
    http: asFunction(buildHttpServer).singleton(),
    daemon: asFunction(buildDaemon).singleton(),
  });
  return container;
};
