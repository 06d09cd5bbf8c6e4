import { handleOutputErrors } from '../packages/core/events/outputErrors.js';

/** A running server: a daemon or a stand-in. */
export interface RunningServer {
  /** Base URL of each interface, by name of the interface. */
  readonly urls: Readonly<Record<string, string>>;
  readonly stop: () => Promise<void>;
  /** Resolves when the server ends without being stopped. */
  readonly ended?: Promise<unknown>;
}

/** Parsed flags of every command that serves. */
export interface ServingFlags {
  readonly json: boolean;
  readonly 'stop-with-input': boolean;
}

const SHUTDOWN_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

/**
 * Waits for SIGINT, SIGTERM or, if it is watched, the end of standard input.
 *
 * @param stdin - whether the end of standard input also resolves the promise
 * @param ended - also resolves the promise, for a server that ends on its own
 * @returns a promise that resolves at the first of these; a second signal then kills the process
 */
export const waitForShutdown = (
  stdin: 'watched' | 'ignored',
  ended?: Promise<unknown>,
): Promise<void> =>
  new Promise((resolve) => {
    const handleShutdown = (): void => {
      for (const signal of SHUTDOWN_SIGNALS) process.off(signal, handleShutdown);
      // An open standard input would keep the process running.
      if (stdin === 'watched') process.stdin.off('close', handleShutdown).destroy();
      resolve();
    };
    for (const signal of SHUTDOWN_SIGNALS) process.on(signal, handleShutdown);
    if (stdin === 'watched') process.stdin.on('close', handleShutdown).resume();
    void ended?.then(handleShutdown);
  });

const formatUrls = (name: string, urls: RunningServer['urls']): string =>
  Object.entries(urls)
    .map(([role, url]) => `${name} serves ${role} on ${url}\n`)
    .join('');

/**
 * Prints the addresses, waits for SIGINT or SIGTERM and stops the server gracefully.
 *
 * @param name - name of the server in the output
 * @param server - running server
 * @param flags - output format, and whether the end of standard input stops the server
 */
export const serveUntilSignal = async (
  name: string,
  server: RunningServer,
  flags: ServingFlags,
): Promise<void> => {
  handleOutputErrors([process.stdout, process.stderr]);
  const shutdown = waitForShutdown(flags['stop-with-input'] ? 'watched' : 'ignored', server.ended);
  process.stdout.write(
    flags.json ? `${JSON.stringify({ name, urls: server.urls })}\n` : formatUrls(name, server.urls),
  );
  await shutdown;
  await server.stop();
};
