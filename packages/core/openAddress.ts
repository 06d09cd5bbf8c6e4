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
 * Opens an address, and tries again for a while if it is in use or not set up yet.
 *
 * @param open - opens the address; may be called again after it has failed
 * @param onRetry - receives the first error that leads to another try
 * @returns resolves when the address is open
 * @throws the newest error after `MAX_WAIT_MS`, and any other error at once
 */
export const openAddress = async (
  open: () => Promise<void>,
  onRetry: (error: Error) => void,
): Promise<void> => {
  const giveUpAt = performance.now() + MAX_WAIT_MS;
  for (let tries = 1; ; tries += 1) {
    try {
      await open();
      return;
    } catch (error) {
      if (!isRetryable(error) || performance.now() >= giveUpAt) throw error;
      if (tries === 1) onRetry(error);
      await sleep(RETRY_MS);
    }
  }
};
