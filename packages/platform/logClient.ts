import { request } from 'undici';
import { z } from 'zod';
import type { Millis } from '../core/clock.js';
import type { Offset } from '../core/ids.js';

/** Answer to an append; `unknown` when it may have taken effect. */
export type LogAppendResult =
  | { readonly kind: 'appended'; readonly firstOffset: Offset }
  | { readonly kind: 'rejected'; readonly message: string; readonly retryAfterMs?: Millis }
  | { readonly kind: 'unknown'; readonly message: string };

const batchSchema = z.object({
  records: z.array(z.object({ offset: z.number(), at: z.number(), body: z.unknown() })),
  nextOffset: z.number(),
  firstOffset: z.number(),
});

export type LogReadBatch = Readonly<z.output<typeof batchSchema>>;

export type LogReadResult =
  | { readonly kind: 'read'; readonly batch: LogReadBatch }
  | { readonly kind: 'failed'; readonly message: string };

export interface LogClient {
  readonly append: (stream: string, records: readonly unknown[]) => Promise<LogAppendResult>;
  readonly read: (
    stream: string,
    from: Offset,
    limit: number,
    waitMs: Millis,
  ) => Promise<LogReadResult>;
}

const appendedSchema = z.object({ firstOffset: z.number() });

/** Network errors that prove that nothing was sent. */
const UNSENT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

const getCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

const getText = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Creates a client of the platform's log.
 *
 * @param options - base URL and time limit of one request, without the wait of a long poll
 * @returns the client
 */
export const createLogClient = (options: {
  readonly baseUrl: string;
  readonly timeoutMs: Millis;
}): LogClient => {
  const { baseUrl, timeoutMs } = options;
  return {
    append: async (stream, records) => {
      try {
        const answer = await request(`${baseUrl}/streams/${stream}/records`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ records }),
          signal: AbortSignal.timeout(timeoutMs),
        });
        const body: unknown = await answer.body.json();
        const parsed = appendedSchema.safeParse(body);
        if (answer.statusCode === 200 && parsed.success) {
          return { kind: 'appended', firstOffset: parsed.data.firstOffset };
        }
        const message = `the log answered ${answer.statusCode.toString()}`;
        return answer.statusCode < 500 || answer.statusCode === 503
          ? { kind: 'rejected', message }
          : { kind: 'unknown', message };
      } catch (error) {
        const kind = UNSENT_ERRORS.has(getCode(error)) ? 'rejected' : 'unknown';
        return { kind, message: getText(error) };
      }
    },
    read: async (stream, from, limit, waitMs) => {
      const query = `from=${from.toString()}&limit=${limit.toString()}&waitMs=${waitMs.toString()}`;
      try {
        const answer = await request(`${baseUrl}/streams/${stream}/records?${query}`, {
          signal: AbortSignal.timeout(timeoutMs + waitMs),
        });
        const body: unknown = await answer.body.json();
        const parsed = batchSchema.safeParse(body);
        if (answer.statusCode === 200 && parsed.success)
          return { kind: 'read', batch: parsed.data };
        return { kind: 'failed', message: `the log answered ${answer.statusCode.toString()}` };
      } catch (error) {
        return { kind: 'failed', message: getText(error) };
      }
    },
  };
};
