import type { Result } from 'ts-results-es';
import type { HttpClient, HttpRequest, HttpResponse, RequestError } from './httpClient.js';
import type { Millis } from '../../core/clock.js';
import { runAfterReads } from '../../core/loop/runAfterReads.js';

/** Read that is repeated on a new connection if its first one fails or its answer is overdue. */
export interface RepeatableRead {
  readonly first: HttpRequest;
  /**
   * Time without any bytes after which the answer to the first request is overdue. Once it has begun,
   * the wait of a long poll no longer counts.
   */
  readonly overdueMs: Millis;
  /** Request on the new connection. */
  readonly second: HttpRequest;
}

/** How a read ended. */
export interface RepeatedReadResult {
  readonly answer: Result<HttpResponse, RequestError>;
  /** Why the first connection was given up; null when it answered. */
  readonly replaced: string | null;
  /** Time since the newest connection was opened. */
  readonly triedMs: Millis;
}

/**
 * Sends a read, and sends it again on a new connection if the first one fails or is overdue. Open
 * connections can fall silent for good while new ones work, so only a new connection without an
 * answer shows that the service cannot be reached. An answer that still arrives is not overdue: on a
 * slow link a second one would only take half of the rate. The first answer counts.
 *
 * @param client - client of the service
 * @param read - both requests, and the time after which the first is overdue
 * @returns the answer, or the error of the new connection
 */
export const sendRepeatedRead = (
  { send }: HttpClient,
  { first, overdueMs, second }: RepeatableRead,
): Promise<RepeatedReadResult> =>
  new Promise((resolve) => {
    const abort = new AbortController();
    const stalledMs = overdueMs - (first.waitMs ?? 0);
    let phase: 'first' | 'both' | 'settled' = 'first';
    let pending = 0;
    let newestSentAt = 0;
    let progressedAt: Millis | null = null;
    let cause = 'no answer in time';

    const settle = (answer: RepeatedReadResult['answer'], replaced: string | null): void => {
      phase = 'settled';
      clearTimeout(timer);
      abort.abort();
      resolve({ answer, replaced, triedMs: performance.now() - newestSentAt });
    };

    const sendOn = async (connection: 'first' | 'second', request: HttpRequest): Promise<void> => {
      pending += 1;
      newestSentAt = performance.now();
      const answer = await send({ ...request, signal: abort.signal });
      pending -= 1;
      if (phase === 'settled') return;
      const replaced = connection === 'first' ? null : cause;
      if (answer.isOk()) settle(answer, replaced);
      else if (phase === 'first') startSecond(answer.error.message);
      else if (pending === 0) settle(answer, replaced);
    };

    const startSecond = (reason: string): void => {
      if (phase !== 'first') return;
      phase = 'both';
      cause = reason;
      void sendOn('second', { ...second, connection: 'new' });
    };

    // A timer that is late for lack of processor time may come before an answer is noticed.
    const checkOverdue = (): void => {
      runAfterReads(() => {
        if (phase !== 'first') return;
        const leftMs = progressedAt === null ? 0 : progressedAt + stalledMs - performance.now();
        if (leftMs > 0) timer = setTimeout(checkOverdue, Math.ceil(leftMs));
        else startSecond(cause);
      });
    };
    let timer = setTimeout(checkOverdue, overdueMs);
    void sendOn('first', {
      ...first,
      onProgress: () => {
        progressedAt = performance.now();
      },
    });
  });
