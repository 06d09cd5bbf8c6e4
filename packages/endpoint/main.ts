import { wireEndpointDaemon } from './wiring.js';
import type { EndReason } from './wiring.js';
import { formatError } from '../core/events/formatError.js';
import { openAddress } from '../core/openAddress.js';
import type { EndpointSettings } from '../settings/types.js';

/** Maximum time for closing the connections once all work has ended. */
const CLOSE_TIMEOUT_MS = 3_000;

const waitFor = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Handle of a daemon that runs in this process. */
export interface RunningDaemon {
  readonly urls: Readonly<Record<string, string>>;
  /** Drains and stops the daemon; resolves when no work is left or the drain time has elapsed. */
  readonly stop: () => Promise<void>;
  /** Logs an error that nothing caught. */
  readonly reportError: (error: unknown) => void;
  /** Resolves with the reason once the daemon has ended. */
  readonly ended: Promise<EndReason>;
}

/**
 * Starts an endpoint daemon in this process.
 *
 * @param settings - validated settings
 * @returns the running daemon
 */
export const startEndpointDaemon = async (settings: EndpointSettings): Promise<RunningDaemon> => {
  let resolveEnded: (reason: EndReason) => void = () => undefined;
  const ended = new Promise<EndReason>((resolve) => {
    resolveEnded = resolve;
  });
  const { cradle } = wireEndpointDaemon(settings, resolveEnded);
  const { daemon, rpc, http, urls, events } = cradle;
  const onRetry = ({ message }: Error): void => {
    events.record('address-unavailable', { data: { error: message } });
  };
  const { host, port } = settings.http;
  urls.rpc = await openAddress(() => rpc.listen(settings.rpc.host, settings.rpc.port), onRetry);
  urls.http = await openAddress(() => http.listen({ host, port }), onRetry);
  daemon.start();
  events.record('daemon-started', { data: { rpc: urls.rpc, http: urls.http } });

  const closed = ended.then(async (reason) => {
    const left = reason.kind === 'drained' ? reason.left : 0;
    events.record('daemon-stopped', { data: { reason: reason.kind, left } });
    daemon.stop();
    cradle.entries.close();
    const connectionsClosed = Promise.all([
      cradle.engine.close(),
      cradle.list.close(),
      http.close(),
      rpc.close(),
    ]);
    // All work has ended, so a peer that keeps a connection open must not delay the exit.
    await Promise.race([connectionsClosed, waitFor(CLOSE_TIMEOUT_MS)]);
    return reason;
  });

  return {
    urls: { ...urls },
    stop: async () => {
      daemon.loop.post({ to: 'rpc', kind: 'drain-started', reason: 'stop requested' });
      await closed;
    },
    reportError: (error) => {
      events.record('error-uncaught', { data: { error: formatError(error) } });
    },
    ended: closed,
  };
};
