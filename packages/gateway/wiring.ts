import { asFunction, asValue, createContainer } from 'awilix';
import type { AwilixContainer } from 'awilix';
import { classifyEvent } from './classify.js';
import { createConfigurationLogic } from './configuration/configuration.js';
import { createEndpointClient } from './endpoints/endpointClient.js';
import type { EndpointClient } from './endpoints/endpointClient.js';
import type { EndReason, GatewayCradle, GatewayPorts } from './cradle.js';
import type { GatewayEffect } from './effects.js';
import type { GatewayEvent } from './events.js';
import { createFeedsLogic, isFeedStale } from './feeds/feeds.js';
import { computeResumptionLimits } from './feeds/pacing.js';
import type { PacingInputs } from './feeds/pacing.js';
import { computeMaxConnections } from './frontend/callerLimit.js';
import { createCallerServer } from './frontend/callerServer.js';
import type { CallerServer } from './frontend/callerServer.js';
import { createConnectionTracker } from './frontend/connections.js';
import type { ConnectionTracker } from './frontend/connections.js';
import { computeDrain, createGateLogic } from './frontend/gate.js';
import { createResponders } from './frontend/responders.js';
import type { Responders } from './frontend/responders.js';
import { listCandidates, listLimits } from './membership/candidates.js';
import { createDataCentres } from './membership/dataCentres.js';
import { findHolder, findRegistered } from './membership/holders.js';
import { createMembershipLogic, listLeaving } from './membership/membership.js';
import { createMovesLogic, createNewestMoves } from './moves/moves.js';
import { buildCrashMessage } from './peers/crashReports.js';
import {
  countDaemons,
  countReachableDaemons,
  describeFleet,
  isPrecededByPeer,
} from './peers/fleet.js';
import { createPeersLogic } from './peers/peers.js';
import { createPeerSocket } from './peers/peerSocket.js';
import type { PeerSocket } from './peers/peerSocket.js';
import { createQuarantineLogic } from './quarantine/quarantine.js';
import { createQuarantineWrites } from './quarantine/writes.js';
import { createStringHash, hashContent } from './hashes.js';
import { performEffect } from './perform.js';
import { reportFullMemory } from './fullMemory.js';
import { listOwnLoad, listOwnTransfers, listSingleRunEndpoints } from './requests/load.js';
import { createRequestsLogic } from './requests/requests.js';
import { findStatements } from './statements/incarnations.js';
import type { StatedIncarnations } from './statements/incarnations.js';
import { createStatementsLogic, hasNews, listStatedLeaving } from './statements/statements.js';
import { createUsageLogic } from './usage/usage.js';
import { CANDIDATE_COUNT } from './usage/constants.js';
import { createGatewaySupervisor } from './supervisor.js';
import type { GatewayLogics, GatewayStates } from './supervisor.js';
import type { GatewaySettings } from './types.js';
import { createSystemClock, createWallClock } from '../core/clock.js';
import { createEventLog } from '../core/events/eventLog.js';
import type { EventLog } from '../core/events/eventLog.js';
import { createLineWriter } from '../core/events/lineWriter.js';
import { createId } from '../core/ids.js';
import { createDeferredMetrics } from '../core/metrics/deferredMetrics.js';
import { createRandomSource } from '../core/random.js';
import { createDaemon } from '../core/supervision/daemon.js';
import type { Daemon } from '../core/supervision/daemon.js';
import { createFailureReports } from '../core/supervision/failureReports.js';
import { startSupervisor } from '../core/supervision/supervisor.js';
import { findRoute } from '../decisions/forwarding/routing.js';
import { hasWish } from '../decisions/forwarding/rest.js';
import { chooseByRendezvous } from '../decisions/membership/rendezvous.js';
import { checkContent } from '../decisions/quarantine/crashEvidence.js';
import { createUsageTable } from '../decisions/usage/usageTable.js';

const SEED_RANGE = 2 ** 31;

const buildEvents = ({ settings, incarnation, clock }: GatewayCradle): EventLog =>
  createEventLog({
    process: settings.process,
    role: 'entry',
    incarnation,
    clock,
    write: createLineWriter(process.stdout, clock),
  });

const buildConnections = ({ clock, events, metrics, states }: GatewayCradle): ConnectionTracker =>
  createConnectionTracker({
    clock,
    getConfigurationVersion: () => states.configuration.table?.version ?? 0,
    getGate: () => states.frontend,
    record: events.record,
    addCount: metrics.addCount,
  });

const buildResponders = ({ connections, events, ports }: GatewayCradle): Responders =>
  createResponders(
    connections,
    (error) => {
      events.record('caller-unreadable', { data: { error: error.message } });
    },
    ports.memory.accounts['unread-answers'],
  );

const buildCallers = (cradle: GatewayCradle): CallerServer =>
  createCallerServer({
    codec: cradle.ports.codec,
    clock: cradle.clock,
    responders: cradle.responders,
    connections: cradle.connections,
    memory: {
      ...cradle.ports.memory.accounts,
      bodies: cradle.ports.memory.accounts['request-bodies'],
    },
    maxConnections: computeMaxConnections(cradle.settings.maxDescriptors),
    isLate: () => cradle.daemon.loop.isLate(),
    isRefused: (head) => {
      const { table } = cradle.states.configuration;
      return table !== null && findRoute(table, head).kind !== 'routed';
    },
    postArrival: (request, body) =>
      cradle.daemon.loop.post({ to: 'frontend', kind: 'caller-arrived', request, body }),
    postDisconnect: (key) => {
      cradle.responders.remove(key);
      cradle.daemon.loop.post({ to: 'requests', kind: 'caller-disconnected', key });
    },
    onFault: (error) => {
      cradle.events.record('effect-failed', {
        data: { effect: 'accept-request', error: String(error) },
      });
    },
  });

const buildEndpoints = (cradle: GatewayCradle): EndpointClient =>
  createEndpointClient({
    codec: cradle.ports.codec,
    clock: cradle.clock,
    isLate: () => cradle.daemon.loop.isLate(),
    post: (event) => {
      if (event.to === 'requests' || hasNews(event, cradle.states.statements))
        cradle.daemon.loop.post(event);
    },
    recordReceived: cradle.ports.memory.recordReceived,
  });

const buildPeers = (cradle: GatewayCradle): PeerSocket =>
  createPeerSocket(
    cradle.settings.peers,
    (host, message) => {
      cradle.daemon.loop.post({ to: 'peers', kind: 'peer-report-received', host, message });
    },
    (error) => {
      cradle.events.record('peer-unreachable', { data: { error: error.message } });
    },
    (host, message) => {
      cradle.daemon.loop.post({ to: 'usage', kind: 'usage-received', host, message });
    },
  );

const buildLogics = (cradle: GatewayCradle): GatewayLogics => {
  const { clock, live, random, settings, states } = cradle;
  const getPacingInputs = (): PacingInputs => ({
    daemons: countReachableDaemons(states.peers, clock.now()),
    stalenessLimits: live.current.learnWithin,
  });
  const incarnations: StatedIncarnations = new Map();
  const limitInputs = { process: settings.process, hash: createStringHash() };
  return {
    requests: createRequestsLogic({
      clock,
      random,
      dataCentre: settings.dataCentre,
      getRoutingTable: () => states.configuration.table,
      listEndpoints: (service) => listCandidates(service, states, limitInputs, clock.now()),
      findHolder: (holder) => findHolder(holder, states.membership, incarnations),
      getResumptionLimits: () => computeResumptionLimits(getPacingInputs()),
      countDaemons: () => countDaemons(states.peers),
      getFleet: () =>
        describeFleet(states.peers, live.current.seeds, settings.peers.host, clock.now()),
      isUserOf: (endpoint, users) =>
        chooseByRendezvous(
          endpoint,
          [settings.peers.host, ...states.peers.members.keys()],
          users,
          limitInputs.hash,
        ).includes(settings.peers.host),
      getDrain: () => computeDrain(states.frontend, clock.now(), live.current.graceMs),
      hasPeerWithHigherPriority: (source, priority) =>
        isPrecededByPeer(
          states.peers,
          { source, priority, process: settings.process },
          clock.now(),
        ),
      getLiveSettings: () => live.current,
      hasAnswerRoom: () => cradle.ports.memory.accounts.answers.reserve(0) === 'reserved',
      findStatements: (endpoint) => findStatements(incarnations, endpoint),
      hasCrashes: () => states.quarantine.evidence.reports.size > 0,
      checkContent: (content) => checkContent(states.quarantine.evidence, content, clock.now()),
      hashContent,
      usageReports: settings.usage === null ? 'off' : 'on',
    }),
    quarantine: createQuarantineLogic({ clock, random, writes: createQuarantineWrites() }),
    peers: createPeersLogic({
      clock,
      random,
      self: {
        host: settings.peers.host,
        process: settings.process,
        dataCentre: settings.dataCentre,
      },
      hash: limitInputs.hash,
      getSeeds: () => live.current.seeds,
      listOwnLoad: () => listOwnLoad(states.requests),
      listLeaving: (since) => [
        ...new Set([
          ...listLeaving(states.membership, since),
          ...listStatedLeaving(states.statements, since),
        ]),
      ],
      listLimits: () => listLimits(states, clock.now()),
      listOwnTransfers: () => [...listOwnTransfers(states.requests, clock.now())],
      buildCrashMessage: (scope) =>
        buildCrashMessage(states.quarantine.evidence, scope, clock.now()),
    }),
    configuration: createConfigurationLogic({ current: null }),
    membership: createMembershipLogic({
      clock,
      dataCentres: createDataCentres(),
      gone: new Map(),
      isResting: (endpoint) =>
        hasWish(findStatements(incarnations, endpoint)?.rest ?? null, clock.now()),
      listPolledEngines: () =>
        isFeedStale(states.feeds.registrations, clock.now(), getPacingInputs())
          ? listSingleRunEndpoints(states.requests)
          : [],
    }),
    statements: createStatementsLogic({
      clock,
      incarnations,
      findRegistered: (id) => findRegistered(states.membership, id),
    }),
    usage: createUsageLogic({
      clock,
      wallClock: createWallClock(),
      self: { process: settings.process, host: settings.peers.host },
      settings: settings.usage,
      createIncarnation: createId,
      listHosts: () => [...states.peers.daemons.keys()],
      chooseCandidates: (hosts) =>
        chooseByRendezvous('usage', hosts, CANDIDATE_COUNT, limitInputs.hash),
      getPhase: () => (states.frontend.phase === 'accepting' ? 'serving' : 'draining'),
      table: createUsageTable(),
      fixed: new Map(),
    }),
    moves: createMovesLogic(clock, createNewestMoves()),
    feeds: createFeedsLogic({ clock, getPacingInputs, newestReads: new Map() }),
    frontend: createGateLogic({
      clock,
      getStopOrderedAt: () => cradle.stopOrder.at,
      getGraceMs: () => live.current.graceMs,
      // A request that has been read whole may wait until it is parsed.
      countOpen: () =>
        Math.max(
          cradle.responders.count() + cradle.connections.countUnsent(),
          cradle.callers.countDue(),
        ),
    }),
  };
};

const buildDaemon = (cradle: GatewayCradle): Daemon<GatewayEvent> => {
  const { clock, connections, events, metrics, ports, responders, states } = cradle;
  const { onFailure, onFault } = createFailureReports(events, cradle.onEnd);
  const adapters = {
    loop: () => daemon.loop,
    events,
    metrics,
    responders,
    connections,
    callers: cradle.callers,
    endpoints: cradle.endpoints,
    peers: cradle.peers,
    feeds: ports.feeds,
    engines: ports.engines,
    quarantines: ports.quarantines,
    leases: ports.leases,
    usage: ports.usage,
    endProcess: (left: number) => {
      cradle.onEnd({ kind: 'drained', left });
    },
  };
  const spec = createGatewaySupervisor(cradle.logics, states);
  const daemon = createDaemon<GatewayEvent, GatewayEffect>({
    classify: classifyEvent,
    startRoot: () => startSupervisor(spec, clock, onFailure),
    perform: (effect) => {
      performEffect(effect, adapters);
    },
    onFault,
    onLate: (lateness) => {
      events.record('loop-late', { data: { ...lateness } });
    },
  });
  return daemon;
};

/**
 * Wires the parts of a gateway daemon.
 *
 * @param settings - validated settings
 * @param ports - adapters to the platform
 * @param onEnd - called when the process of the daemon should end
 * @returns the container
 */
export const wireGateway = (
  settings: GatewaySettings,
  ports: GatewayPorts,
  onEnd: (reason: EndReason) => void,
): AwilixContainer<GatewayCradle> => {
  const container = createContainer<GatewayCradle>({ injectionMode: 'PROXY', strict: true });
  container.register({
    settings: asValue(settings),
    live: asValue({ current: settings.live }),
    stopOrder: asValue({ at: null }),
    ports: asValue(ports),
    onEnd: asValue(onEnd),
    clock: asFunction(createSystemClock).singleton(),
    random: asFunction(() =>
      createRandomSource(Math.floor(Math.random() * SEED_RANGE)),
    ).singleton(),
    incarnation: asFunction(createId).singleton(),
    // Empty at first: the children start in the declared order, and each publishes its state before
    // anything reads it.
    states: asValue({} as GatewayStates),
    events: asFunction(buildEvents).singleton(),
    metrics: asFunction(createDeferredMetrics).singleton(),
    connections: asFunction(buildConnections).singleton(),
    responders: asFunction(buildResponders).singleton(),
    callers: asFunction(buildCallers).singleton(),
    endpoints: asFunction(buildEndpoints).singleton(),
    peers: asFunction(buildPeers).singleton(),
    logics: asFunction(buildLogics).singleton(),
    daemon: asFunction(buildDaemon).singleton(),
  });
  const {
    ports: { memory },
    states,
  } = container.cradle;
  // The requests child counts its answers itself, since it starts anew without them.
  memory.observe('answers', () => states.requests.answerBytes);
  const { events, metrics } = container.cradle;
  reportFullMemory(memory, events, metrics);
  return container;
};
