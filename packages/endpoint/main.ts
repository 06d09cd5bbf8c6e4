import { wireEndpointDaemon } from './wiring.js';
import type { EndReason } from './wiring.js';
import type { EndpointSettings } from '../settings/types.js';

/** A daemon that serves until it is stopped. */
export interface RunningDaemon {
  readonly urls: Readonly<Record<string, string>>;
  /** Drains and ends; resolves when nothing is left or the drain time is over. */
  readonly stop: () => Promise<void>;
  /** Resolves when the daemon ended, for whatever reason. */
  readonly ended: Promise<EndReason>;
}

/**
 * Starts an endpoint daemon in this process.
 *
 * @param settings - checked settings
 * @returns the running daemon
 */
export const startEndpointDaemon = async (settings: EndpointSettings): Promise<RunningDaemon> => {
  let resolveEnded: (reason: EndReason) => void = () => undefined;
  const ended = new Promise<EndReason>((resolve) => {
    resolveEnded = resolve;
  });
  const { cradle } = wireEndpointDaemon(settings, resolveEnded);
  const { daemon, rpc, http, urls, events } = cradle;
  urls.rpc = await rpc.listen(settings.rpc.host, settings.rpc.port);
  urls.http = await http.listen({ host: settings.http.host, port: settings.http.port });
  daemon.start();
  events.record('daemon-started', { data: { rpc: urls.rpc, http: urls.http } });

  const close = ended.then(async (reason) => {
    const left = reason.kind === 'drained' ? reason.left : 0;
    events.record('daemon-stopped', { data: { reason: reason.kind, left } });
    daemon.stop();
    cradle.entries.close();
    await cradle.engine.close();
    await cradle.list.close();
    await http.close();
    await rpc.close();
    return reason;
  });

  return {
    urls: { ...urls },
    stop: async () => {
      daemon.loop.post({ to: 'rpc', kind: 'drain-started', reason: 'stop requested' });
      await close;
    },
    ended: close,
  };
};
