import { wireEntryDaemon } from './wiring.js';
import type { EndReason } from './wiring.js';
import { formatError } from '../core/events/formatError.js';
import { openAddress } from '../core/openAddress.js';
import { createFailure } from '../core/verdict.js';
import type { EntrySettings } from '../settings/types.js';

const ENDED_BEFORE_ANSWER = createFailure(
  'may-have-run',
  'endpoint-lost',
  'the entry daemon ends before the answer is complete',
);

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
 * Starts an entry daemon in this process.
 *
 * @param settings - validated settings
 * @returns the running daemon
 */
export const startEntryDaemon = async (settings: EntrySettings): Promise<RunningDaemon> => {
  let resolveEnded: (reason: EndReason) => void = () => undefined;
  const ended = new Promise<EndReason>((resolve) => {
    resolveEnded = resolve;
  });
  const { cradle } = wireEntryDaemon(settings, resolveEnded);
  const { daemon, callers, heartbeats, events } = cradle;
  // The supervisor tree starts before the servers listen, because each request is an event for it.
  daemon.start();
  const onRetry = ({ message }: Error): void => {
    events.record('address-unavailable', { data: { error: message } });
  };
  const { host, port } = settings.callers;
  const rpc = await openAddress(
    () => heartbeats.listen(settings.rpc.host, settings.rpc.port),
    onRetry,
  );
  const http = await openAddress(() => callers.server.listen({ host, port }), onRetry);
  events.record('daemon-started', { data: { rpc, http } });

  const closed = ended.then(async (reason) => {
    const left = reason.kind === 'drained' ? reason.left : 0;
    events.record('daemon-stopped', { data: { reason: reason.kind, left } });
    daemon.stop();
    // Whole answers cannot be handed over, and the server waits for its open requests.
    cradle.responders.failAll(ENDED_BEFORE_ANSWER);
    cradle.endpoints.close();
    await cradle.platform.close();
    await callers.server.close();
    await heartbeats.close();
    return reason;
  });

  return {
    urls: { callers: http, rpc },
    stop: async () => {
      daemon.loop.post({ to: 'frontend', kind: 'drain-started', reason: 'stop requested' });
      await closed;
    },
    reportError: (error) => {
      events.record('error-uncaught', { data: { error: formatError(error) } });
    },
    ended: closed,
  };
};
