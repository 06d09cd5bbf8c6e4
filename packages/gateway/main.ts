import type { EndReason, GatewayCradle, GatewayPorts } from './cradle.js';
import { createStatusServer } from './frontend/statusServer.js';
import type { StatusPage } from './frontend/statusServer.js';
import { watchIdleMemory } from './idleMemory.js';
import { GATEWAY_HOLDERS } from './memory.js';
import type { GatewaySettings, HeadCodec } from './types.js';
import { formatError } from '../core/events/formatError.js';
import { openAddress } from '../core/openAddress.js';
import { createFailure } from '../core/verdict.js';
import { wireGateway } from './wiring.js';

/** A gateway daemon that serves until it is stopped. */
export interface RunningGateway {
  /** Drains and stops the daemon; resolves when no work is left or the grace period is over. */
  readonly stop: () => Promise<void>;
  /** Logs an error that nothing caught. */
  readonly reportError: (error: unknown) => void;
  /** Applies the changed settings that do not need a restart. */
  readonly reload: (settings: GatewaySettings) => void;
  /** Resolves with the reason once the daemon has ended. */
  readonly ended: Promise<EndReason>;
}

const STATUS_READY = 200;
const STATUS_UNREADY = 503;

const ENDED_BEFORE_ANSWER = createFailure(
  'may-have-run',
  'internal',
  'the gateway daemon ended before the answer was complete',
);

/** Delay after the start until the metrics libraries are loaded. */
const METRICS_LOAD_DELAY_MS = 2_000;

const getUnreadyReason = ({ states }: GatewayCradle): string | null => {
  if (states.frontend.phase !== 'accepting') return 'draining';
  if (states.configuration.table === null) return 'the configuration has not been loaded yet';
  return states.membership.loaded === 'no' ? 'the endpoints have not been loaded yet' : null;
};

const renderReadiness = (cradle: GatewayCradle): StatusPage => {
  const reason = getUnreadyReason(cradle);
  return {
    status: reason === null ? STATUS_READY : STATUS_UNREADY,
    contentType: 'text/plain',
    body: `${reason ?? 'ready'}\n`,
  };
};

/** Sets the gauges of the callers' connections, and of who holds how much of the memory that others can fill. */
const publishMemory = ({ callers, metrics, ports }: GatewayCradle): void => {
  const { accounts } = ports.memory;
  metrics.setGauge('gateway_caller_connections', callers.countConnections(), {});
  metrics.setGauge('gateway_caller_answers_due', callers.countDue(), {});
  for (const holder of GATEWAY_HOLDERS) {
    metrics.setGauge('gateway_memory_reserved_bytes', accounts[holder].getReserved(), { holder });
    metrics.setGauge('gateway_memory_limit_bytes', accounts[holder].limitBytes, { holder });
  }
};

const createPageGetter =
  (cradle: GatewayCradle, codec: HeadCodec) =>
  async (path: string): Promise<StatusPage | null> => {
    if (codec.isReadinessPath(path)) return renderReadiness(cradle);
    if (path !== '/metrics') return null;
    publishMemory(cradle);
    return {
      status: STATUS_READY,
      contentType: 'text/plain; version=0.0.4',
      body: await cradle.metrics.renderText(),
    };
  };

/**
 * Starts a gateway daemon in this process.
 *
 * @param settings - validated settings
 * @param ports - adapters to the platform
 * @returns the running daemon
 */
export const startGateway = async (
  settings: GatewaySettings,
  ports: GatewayPorts,
): Promise<RunningGateway> => {
  let resolveEnded: (reason: EndReason) => void = () => undefined;
  const ended = new Promise<EndReason>((resolve) => {
    resolveEnded = resolve;
  });
  const { cradle } = wireGateway(settings, ports, resolveEnded);
  const { callers, daemon, events, metrics, peers, responders } = cradle;
  const onPageError = (error: unknown): void => {
    events.record('daemon-fault', { data: { error: String(error) } });
  };
  const readinessServer = createStatusServer(
    createPageGetter(cradle, ports.codec),
    onPageError,
    cradle.clock,
  );
  const metricsServer = createStatusServer(
    createPageGetter(cradle, ports.codec),
    onPageError,
    cradle.clock,
  );
  // The supervisor tree starts before any address is open, since it handles the requests.
  daemon.start();
  const onAddressRetry = ({ message }: Error): void => {
    events.record('address-unavailable', { data: { error: message } });
  };
  await openAddress(peers.open, onAddressRetry);
  // Callers are served without the metrics, so nothing waits for their address.
  const metricsAbort = new AbortController();
  openAddress(() => metricsServer.listen(settings.metrics), onAddressRetry, {
    maxWaitMs: Infinity,
    signal: metricsAbort.signal,
  }).catch((error: unknown) => {
    if (!metricsAbort.signal.aborted) onPageError(error);
  });
  await Promise.all(
    [() => callers.listen(settings.callers), () => readinessServer.listen(settings.readiness)].map(
      (listen) => openAddress(listen, onAddressRetry),
    ),
  );
  const stopWatch = watchIdleMemory({
    memory: ports.memory,
    countCallers: () => callers.countConnections() + responders.count(),
    record: events.record,
  });
  const loadTimer = setTimeout(() => {
    metrics.load().catch(onPageError);
  }, METRICS_LOAD_DELAY_MS);
  events.record('daemon-started', {
    data: { startMs: Math.round(performance.now()), dataCentre: settings.dataCentre },
  });

  const close = ended.then((reason) => {
    const left = reason.kind === 'drained' ? reason.left : 0;
    events.record('daemon-stopped', { data: { reason: reason.kind, left } });
    clearTimeout(loadTimer);
    stopWatch();
    metricsAbort.abort();
    daemon.stop();
    // A daemon that ends with a fault has not drained.
    responders.refuseAll(ENDED_BEFORE_ANSWER);
    cradle.endpoints.close();
    ports.feeds.close();
    callers.close();
    readinessServer.close();
    metricsServer.close();
    peers.close();
    return reason;
  });

  return {
    stop: async () => {
      cradle.stopOrder.at ??= cradle.clock.now();
      responders.startDrain();
      daemon.loop.post({ to: 'frontend', kind: 'drain-started' });
      await close;
    },
    reportError: (error) => {
      events.record('error-uncaught', { data: { error: formatError(error) } });
    },
    reload: ({ live }) => {
      cradle.live.current = live;
      events.record('settings-reloaded', { data: { seeds: live.seeds.length } });
    },
    ended: close,
  };
};
