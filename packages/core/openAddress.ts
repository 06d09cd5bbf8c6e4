import type { ListenOptions, Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from './clock.js';

/** Interval at which an address that is not available is tried again. */
const RETRY_MS: Millis = 100;

/**
 * Time after which an address counts as taken for good. The process before this one may still be
 * ending, and the address of a new machine may still be set up.
 */
const MAX_WAIT_MS: Millis = 5_000;

const RETRYABLE_CODES: readonly string[] = ['EADDRINUSE', 'EADDRNOTAVAIL'];

const isRetryable = (error: unknown): error is Error =>
  error instanceof Error && 'code' in error && RETRYABLE_CODES.includes(String(error.code));

/**
 * Makes one try to open the address of a server. After a failed one the server can be opened again.
 *
 * @param server - server that does not listen
 * @param options - address, and the length of the queue of new connections
 * @returns resolves when the server listens
 * @throws the error of the server
 */
export const openListener = (server: Server, options: ListenOptions): Promise<void> =>
  new Promise((resolve, reject) => {
    const handleError = (error: Error): void => {
      // The server would keep the listener of each failed try.
      server.off('listening', handleListening);
      reject(error);
    };
    const handleListening = (): void => {
      server.off('error', handleError);
      resolve();
    };
    server.once('error', handleError);
    server.once('listening', handleListening);
    server.listen(options);
  });

/** How long to try, if not for the usual time. */
export interface OpenOptions {
  /** Time after which the address counts as taken for good. */
  readonly maxWaitMs?: Millis;
  /** Ends the tries, as the daemon stops. */
  readonly signal?: AbortSignal;
}

/**
 * Opens an address, and tries again for a while if it is in use or not set up yet.
 *
 * @param open - opens the address; may be called again after it has failed
 * @param onRetry - receives the first error that leads to another try
 * @param options - how long to try
 * @returns resolves with the result of `open`
 * @throws the newest error after `maxWaitMs`, any other error at once, and an `AbortError` when the
 *   signal ends the tries
 */
export const openAddress = async <Opened>(
  open: () => Promise<Opened>,
  onRetry: (error: Error) => void,
  { maxWaitMs = MAX_WAIT_MS, signal }: OpenOptions = {},
): Promise<Opened> => {
  const giveUpAt = performance.now() + maxWaitMs;
  for (let tries = 1; ; tries += 1) {
    try {
      return await open();
    } catch (error) {
      if (!isRetryable(error) || performance.now() >= giveUpAt) throw error;
      if (tries === 1) onRetry(error);
      await sleep(RETRY_MS, undefined, { signal });
    }
  }
};
