import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { decodeJson, resolveBody } from './responses.js';
import { DEFAULT_READ_LIMIT } from './constants.js';
import { createHttpClient } from './httpClient.js';
import type { HttpResponse, RequestError } from './httpClient.js';
import type { ClientOptions, LogClient, LogPage, ReadOptions } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { AppendResult } from '../../decisions/idempotency/types.js';

const SERVICE = { name: 'the log', code: 'log-unavailable' } as const;

const offset = z.number().int().nonnegative();

const appendSchema = z.object({ firstOffset: offset });

/** A record without a body keeps its offset and has a null body, which its reader rejects. */
const body = z
  .unknown()
  .optional()
  .transform((value) => value ?? null);

const pageSchema: z.ZodType<LogPage> = z.object({
  records: z.array(z.object({ offset, at: z.number(), body })),
  nextOffset: offset,
  firstOffset: offset,
});

const decodeAppendResponse = ({ status, body, retryAfterMs }: HttpResponse): AppendResult => {
  const message = `the log answered with status ${status.toString()}`;
  if (status >= 400 && status < 500) {
    return { kind: 'rejected', message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  }
  // A server error can follow an append that took effect.
  if (status !== 200 && status !== 201) return { kind: 'unknown', message };
  const parsed = decodeJson(SERVICE, body, appendSchema);
  return parsed.isOk()
    ? { kind: 'appended', offset: parsed.value.firstOffset }
    : { kind: 'unknown', message: parsed.error.message };
};

const toAppendResult = (result: Result<HttpResponse, RequestError>): AppendResult => {
  if (result.isOk()) return decodeAppendResponse(result.value);
  const { kind, message } = result.error;
  switch (kind) {
    case 'refused':
    case 'unreached':
    case 'not-sent':
      return { kind: 'rejected', message };
    case 'lost':
      return { kind: 'unknown', message };
    default:
      return assertNever(kind);
  }
};

const toQuery = ({ from, limit = DEFAULT_READ_LIMIT, waitMs = 0 }: ReadOptions): string =>
  new URLSearchParams({
    from: from.toString(),
    limit: limit.toString(),
    waitMs: waitMs.toString(),
  }).toString();

/**
 * Creates a client of the platform's log. The client sends an append once and never retries it.
 *
 * @param options - base URL and timeout
 * @returns the client
 */
export const createLogClient = (options: ClientOptions): LogClient => {
  const { send, close } = createHttpClient(options);
  const toPath = (stream: string): string => `/streams/${encodeURIComponent(stream)}/records`;
  return {
    append: async (stream, records) =>
      toAppendResult(await send({ method: 'POST', path: toPath(stream), json: { records } })),
    read: async (stream, readOptions) => {
      const path = `${toPath(stream)}?${toQuery(readOptions)}`;
      const { waitMs = 0, signal } = readOptions;
      const body = resolveBody(SERVICE, await send({ method: 'GET', path, waitMs, signal }));
      return body.andThen((bytes) => decodeJson(SERVICE, bytes, pageSchema));
    },
    close,
  };
};
