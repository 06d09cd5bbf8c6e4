import { Agent, request as openRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { MAX_IDLE_MS, MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES } from './constants.js';
import type { ClientOptions } from './types.js';
import {
  addBlock,
  appendChunk,
  computeNextBlock,
  createByteBlocks,
  listParts,
} from '../../core/bytes/byteBlocks.js';
import type { ByteBlocks } from '../../core/bytes/byteBlocks.js';
import type { Millis } from '../../core/clock.js';
import { limitOverhead } from '../../core/http/answerLimits.js';
import { isAnswerStatus } from '../../core/http/answerStatus.js';
import { reportResets } from '../../core/http/connectionResets.js';
import { joinAnswerChunks } from '../../core/http/pacing/answerChunks.js';
import { runAfterReads } from '../../core/loop/runAfterReads.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';
import type { MemoryAccount } from '../../core/memory/types.js';

/** Error of a request without a response. */
export type RequestError =
  /** Nothing listens at the address of the service, so the request was not sent. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No connection was established in time, or there is no way to the service: the request was not sent. */
  | { readonly kind: 'unreached'; readonly message: string }
  /** The service or this machine gave up a new connection, so the request was not sent. */
  | { readonly kind: 'not-sent'; readonly message: string }
  /** A connection was established, so the request may have taken effect. */
  | { readonly kind: 'lost'; readonly message: string };

/** What the error codes of a connection that was not established show of the service. */
const CONNECT_ERRORS: Readonly<Record<string, 'refused' | 'unreached'>> = {
  ECONNREFUSED: 'refused',
  ETIMEDOUT: 'unreached',
  EHOSTUNREACH: 'unreached',
  EHOSTDOWN: 'unreached',
  ENETUNREACH: 'unreached',
  ENETDOWN: 'unreached',
};

const createTimeout = (message: string): Error =>
  Object.assign(new Error(message), { code: 'ETIMEDOUT' });

const toRequestError = (error: unknown, connection: 'none' | 'established'): RequestError => {
  const message = error instanceof Error ? error.message : String(error);
  if (connection === 'established') return { kind: 'lost', message };
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  return { kind: CONNECT_ERRORS[code] ?? 'not-sent', message };
};

/** Response with its whole body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly retryAfterMs: Millis | undefined;
  readonly body: Uint8Array;
}

/** Request to a service of the platform, with at most one of `json` and `bytes` as its body. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly json?: unknown;
  /** Body that is sent unchanged. */
  readonly bytes?: Uint8Array;
  /** Headers in addition to those of the body, which they replace. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Time for which the service may delay its response, in addition to the timeout. */
  readonly waitMs?: Millis;
  readonly signal?: AbortSignal | undefined;
  /** `new` opens a connection for this request only; `shared` if not given. */
  readonly connection?: 'shared' | 'new';
  /** Time in which a new connection has to be established; that of the request if not given. */
  readonly connectTimeoutMs?: Millis;
  /** Replaces the timeout of the client, as for a request that repeats another one. */
  readonly timeoutMs?: Millis;
  /**
   * Longest time that the response may take while its bytes keep arriving: then the timeout counts
   * from the newest bytes. Without it the timeout is that of the whole response.
   */
  readonly maxTransferMs?: Millis;
  /** Receives the head of the response, also of one whose body is cut or too large. */
  readonly onHead?: (head: IncomingMessage) => void;
  /** Called when bytes of the response arrive. */
  readonly onProgress?: () => void;
}

/** HTTP client of one service of the platform. */
export interface HttpClient {
  readonly send: (outgoing: HttpRequest) => Promise<Result<HttpResponse, RequestError>>;
  readonly close: () => Promise<void>;
}

/**
 * Parses a `retry-after` header.
 *
 * @param header - seconds or an HTTP date
 * @param now - current time
 * @returns the delay from now in milliseconds, or undefined without a valid value
 */
export const parseRetryAfter = (header: string | undefined, now: Millis): Millis | undefined => {
  if (header === undefined || header.trim() === '') return undefined;
  const seconds = Number(header);
  if (Number.isFinite(seconds)) return Math.max(0, seconds * 1000);
  const at = Date.parse(header);
  return Number.isNaN(at) ? undefined : Math.max(0, at - now);
};

/** Limits of the bodies of responses. */
interface BodyLimits {
  readonly maxBytes: number;
  readonly memory: MemoryAccount;
}

/** Body of a response while it is received. */
interface ReceivedBody {
  readonly content: ByteBlocks;
  reserved: number;
}

const takeBytes = (body: ReceivedBody, bytes: number, { memory }: BodyLimits): void => {
  if (memory.reserve(bytes) === 'full')
    throw new Error('the responses that are being received are too large together');
  body.reserved += bytes;
};

/** Reserves a body with a stated length in one block, so that it need not be joined. */
const openBody = (response: IncomingMessage, body: ReceivedBody, limits: BodyLimits): void => {
  const length = Number(response.headers['content-length'] ?? 0);
  if (!(length > 0)) return;
  if (length > limits.maxBytes) throw new Error('the response is too large');
  takeBytes(body, length, limits);
  addBlock(body.content, length);
};

const addChunk = (body: ReceivedBody, chunk: Uint8Array, limits: BodyLimits): void => {
  const { content } = body;
  if (content.length + chunk.length > limits.maxBytes) throw new Error('the response is too large');
  const next = computeNextBlock(content, chunk.length);
  if (next > 0) takeBytes(body, next, limits);
  appendChunk(content, chunk);
};

/** Joins a body that came in several blocks, which takes its memory a second time. */
const joinBody = (body: ReceivedBody, limits: BodyLimits): Uint8Array => {
  const parts = listParts(body.content);
  const [first] = parts;
  if (first === undefined) return new Uint8Array();
  if (parts.length === 1) return first;
  takeBytes(body, body.content.length, limits);
  return Buffer.concat(parts);
};

const readResponse = async (
  response: IncomingMessage,
  body: ReceivedBody,
  limits: BodyLimits,
  onProgress: () => void,
): Promise<HttpResponse> => {
  try {
    openBody(response, body, limits);
    for await (const chunk of response as AsyncIterable<Uint8Array>) {
      onProgress();
      addChunk(body, chunk, limits);
    }
    return {
      status: response.statusCode ?? 0,
      headers: response.headers,
      retryAfterMs: parseRetryAfter(response.headers['retry-after'], Date.now()),
      body: joinBody(body, limits),
    };
  } finally {
    limits.memory.release(body.reserved);
  }
};

interface EncodedBody {
  readonly type: string;
  readonly bytes: Uint8Array;
}

const encodeBody = ({ bytes, json }: HttpRequest): EncodedBody | null => {
  if (bytes !== undefined) return { type: 'application/octet-stream', bytes };
  if (json === undefined) return null;
  return { type: 'application/json', bytes: Buffer.from(JSON.stringify(json)) };
};

const buildHeaders = (body: EncodedBody | null): Record<string, string> =>
  body === null
    ? {}
    : { 'content-type': body.type, 'content-length': body.bytes.length.toString() };

/** Ends a request whose connection is not established in time. */
const limitConnecting = (
  socket: Socket,
  client: ClientRequest,
  timeoutMs: Millis | undefined,
): void => {
  if (timeoutMs === undefined) return;
  const timeout = setTimeout(() => {
    // A timer that is late for lack of processor time may come before the connection is noticed.
    runAfterReads(() => {
      if (socket.connecting) client.destroy(createTimeout('the connection timed out'));
    });
  }, timeoutMs);
  const clear = (): void => {
    clearTimeout(timeout);
  };
  socket.once('connect', clear);
  socket.once('close', clear);
};

/**
 * Creates an HTTP client of one service of the platform. A connection whose response times out is
 * closed, since it may be broken. Idle connections are kept for `MAX_IDLE_MS` only, as they fall silent
 * together with it.
 *
 * @param options - base URL and timeout
 * @returns the client, which never throws for a failure of the service or the network
 */
export const createHttpClient = (options: ClientOptions): HttpClient => {
  const agent = new Agent({ keepAlive: true, timeout: MAX_IDLE_MS });
  const serviceUrl = new URL(options.baseUrl);
  const limits: BodyLimits = {
    maxBytes: options.maxResponseBytes ?? MAX_RESPONSE_BYTES,
    memory: options.memory ?? createMemoryAccount(MAX_TOTAL_BYTES),
  };

  const sendRequest = (outgoing: HttpRequest): Promise<Result<HttpResponse, RequestError>> =>
    new Promise((resolve) => {
      const { method, onHead, path, signal, waitMs = 0, timeoutMs = options.timeoutMs } = outgoing;
      const body = encodeBody(outgoing);
      const received: ReceivedBody = { content: createByteBlocks(), reserved: 0 };
      let connection: 'none' | 'established' = 'none';
      let phase: 'pending' | 'settled' = 'pending';
      const client = openRequest({
        agent: outgoing.connection === 'new' ? false : agent,
        host: serviceUrl.hostname,
        port: serviceUrl.port,
        method,
        path,
        headers: { ...buildHeaders(body), ...outgoing.headers },
        ...(signal === undefined ? {} : { signal }),
      });
      const { maxTransferMs } = outgoing;
      const startedAt = performance.now();
      // Without a maximum of its own, the first limit is that of the whole response.
      let dueAt = startedAt + timeoutMs + waitMs;
      const recordProgress = (): void => {
        outgoing.onProgress?.();
        if (maxTransferMs === undefined) return;
        const now = performance.now();
        dueAt = Math.min(now + timeoutMs, startedAt + waitMs + maxTransferMs);
      };
      // A timer that is late for lack of processor time may come before a response is noticed.
      const checkTimeout = (): void => {
        runAfterReads(() => {
          if (phase === 'settled') return;
          const leftMs = dueAt - performance.now();
          if (leftMs > 0) timeout = setTimeout(checkTimeout, Math.ceil(leftMs));
          else client.destroy(createTimeout('the response timed out'));
        });
      };
      let timeout = setTimeout(checkTimeout, timeoutMs + waitMs);
      const settle = (): void => {
        phase = 'settled';
        clearTimeout(timeout);
      };
      const fail = (error: unknown): void => {
        settle();
        resolve(Err(toRequestError(error, connection)));
      };
      joinAnswerChunks(client, () => undefined);
      limitOverhead(
        client,
        () => received.content.length,
        (message) => client.destroy(new Error(message)),
      );
      client.on('socket', (socket) => {
        if (!socket.connecting) {
          connection = 'established';
          return;
        }
        reportResets(socket);
        socket.once('connect', () => {
          connection = 'established';
        });
        limitConnecting(socket, client, outgoing.connectTimeoutMs);
      });
      client.on('error', fail);
      client.on('response', (response) => {
        if (!isAnswerStatus(response.statusCode ?? 0)) {
          client.destroy(new Error('the response has a status that is none'));
          return;
        }
        onHead?.(response);
        recordProgress();
        readResponse(response, received, limits, recordProgress).then(
          (read) => {
            settle();
            resolve(Ok(read));
          },
          (error: unknown) => {
            fail(error);
            // Nothing else would end a response that is too large.
            client.destroy();
          },
        );
      });
      client.end(body?.bytes);
    });

  return {
    send: sendRequest,
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
};
