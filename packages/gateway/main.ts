import { createStatusServer } from './frontend/statusServer.js';
import type { StatusPage } from './frontend/statusServer.js';
import type { GatewaySettings, HeadCodec } from './types.js';
import { wireGateway } from './wiring.js';
import type { EndReason, GatewayCradle, GatewayPorts } from './wiring.js';

/** A gateway daemon that serves until it is stopped. */
export interface RunningGateway {
  /** Drains and ends; resolves when nothing is left or the grace period is over. */
  readonly stop: () => Promise<void>;
  /** Takes over what a running daemon can of changed settings. */
  readonly reload: (settings: GatewaySettings) => void;
  /** Resolves when the daemon ended, for whatever reason. */
  readonly ended: Promise<EndReason>;
}

const STATUS_READY = 200;
const STATUS_UNREADY = 503;

/** Time after the start at which the libraries of the metrics are loaded. */
const METRICS_LOAD_MS = 2_000;

const getUnreadyReason = ({ states }: GatewayCradle): string | null => {
  if (states.frontend.phase !== 'accepting') return 'draining';
  if (states.configuration.table === null) return 'the configuration was not read yet';
  return states.membership.loaded === 'no' ? 'the endpoints were not read yet' : null;
};

const renderReadiness = (cradle: GatewayCradle): StatusPage => {
  const reason = getUnreadyReason(cradle);
  return {
    status: reason === null ? STATUS_READY : STATUS_UNREADY,
    contentType: 'text/plain',
    body: `${reason ?? 'ready'}\n`,
  };
};

const buildStatusPage =
  (cradle: GatewayCradle, codec: HeadCodec) =>
  async (path: string): Promise<StatusPage | null> => {
    if (codec.isReadinessPath(path)) return renderReadiness(cradle);
    if (path !== '/metrics') return null;
    return {
      status: STATUS_READY,
      contentType: 'text/plain; version=0.0.4',
      body: await cradle.metrics.renderText(),
    };
  };

/**
 * Starts a gateway daemon in this process.
 *
 * @param settings - checked settings
 * @param ports - what the platform provides
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
  const status = createStatusServer(buildStatusPage(cradle, ports.codec), onPageError);
  const pages = createStatusServer(buildStatusPage(cradle, ports.codec), onPageError);
  // The tree runs before the first address is open, since every arrival is an event for it.
  daemon.start();
  await peers.open();
  await Promise.all([
    callers.listen(settings.callers),
    status.listen(settings.readiness),
    pages.listen(settings.metrics),
  ]);
  const loadTimer = setTimeout(() => {
    metrics.load().catch(onPageError);
  }, METRICS_LOAD_MS);
  events.record('daemon-started', {
    data: { startMs: Math.round(performance.now()), dataCentre: settings.dataCentre },
  });

  const close = ended.then((reason) => {
    const left = reason.kind === 'drained' ? reason.left : 0;
    events.record('daemon-stopped', { data: { reason: reason.kind, left } });
    clearTimeout(loadTimer);
    daemon.stop();
    cradle.endpoints.close();
    ports.feeds.close();
    callers.close();
    status.close();
    pages.close();
    peers.close();
    return reason;
  });

  return {
    stop: async () => {
      responders.startDrain();
      daemon.loop.post({ to: 'frontend', kind: 'drain-started' });
      await close;
    },
    reload: ({ live }) => {
      cradle.live.current = live;
      events.record('settings-reloaded', { data: { seeds: live.seeds.length } });
    },
    ended: close,
  };
};
