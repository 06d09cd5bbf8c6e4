import { Agent, request as openRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { MAX_ANSWER_BYTES } from './constants.js';
import type { ClientOptions } from './types.js';
import type { Millis } from '../../core/clock.js';

/** How far a request got that has no answer. */
export type ExchangeError =
  /** No connection was made, so the request was not sent. */
  | { readonly kind: 'not-sent'; readonly message: string }
  /** The request may have taken effect. */
  | { readonly kind: 'lost'; readonly message: string };

export interface Exchange {
  readonly status: number;
  readonly retryAfterMs: Millis | undefined;
  readonly body: Uint8Array;
}

export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly json?: unknown;
  /** Body that is sent as it is. */
  readonly bytes?: Uint8Array;
  /** Time that the service may hold its answer back, in addition to the timeout. */
  readonly waitMs?: Millis;
  readonly signal?: AbortSignal | undefined;
}

export interface Exchanger {
  readonly send: (outgoing: ExchangeRequest) => Promise<Result<Exchange, ExchangeError>>;
  readonly close: () => Promise<void>;
}

/**
 * Reads a `retry-after` header.
 *
 * @param header - seconds, or an HTTP date
 * @param now - current instant
 * @returns milliseconds from now, or undefined without a readable value
 */
export const parseRetryAfter = (header: string | undefined, now: Millis): Millis | undefined => {
  if (header === undefined || header.trim() === '') return undefined;
  const seconds = Number(header);
  if (Number.isFinite(seconds)) return Math.max(0, seconds * 1000);
  const at = Date.parse(header);
  return Number.isNaN(at) ? undefined : Math.max(0, at - now);
};

const readExchange = async (answer: IncomingMessage): Promise<Exchange> => {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of answer as AsyncIterable<Uint8Array>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('the answer is too large');
    chunks.push(chunk);
  }
  return {
    status: answer.statusCode ?? 0,
    retryAfterMs: parseRetryAfter(answer.headers['retry-after'], Date.now()),
    body: Buffer.concat(chunks),
  };
};

interface Body {
  readonly type: string;
  readonly bytes: Uint8Array;
}

const encodeBody = ({ bytes, json }: ExchangeRequest): Body | null => {
  if (bytes !== undefined) return { type: 'application/octet-stream', bytes };
  if (json === undefined) return null;
  return { type: 'application/json', bytes: Buffer.from(JSON.stringify(json)) };
};

const buildHeaders = (body: Body | null): Record<string, string> =>
  body === null
    ? {}
    : { 'content-type': body.type, 'content-length': body.bytes.length.toString() };

/**
 * Creates the connections to one service of the platform. A connection on which an answer is
 * overdue is closed, since it may have fallen silent for good.
 *
 * @param options - root address and timeout
 * @returns a sender that never throws for a failure of the service or the network
 */
export const createExchanger = (options: ClientOptions): Exchanger => {
  const agent = new Agent({ keepAlive: true });
  const root = new URL(options.baseUrl);

  const exchange = (outgoing: ExchangeRequest): Promise<Result<Exchange, ExchangeError>> =>
    new Promise((resolve) => {
      const { method, path, signal, waitMs = 0 } = outgoing;
      const body = encodeBody(outgoing);
      let reached: 'nothing' | 'connection' = 'nothing';
      const client = openRequest({
        agent,
        host: root.hostname,
        port: root.port,
        method,
        path,
        headers: buildHeaders(body),
        ...(signal === undefined ? {} : { signal }),
      });
      const overdue = setTimeout(() => {
        client.destroy(new Error('the answer is overdue'));
      }, options.timeoutMs + waitMs);
      const fail = (error: unknown): void => {
        clearTimeout(overdue);
        const message = error instanceof Error ? error.message : String(error);
        resolve(Err({ kind: reached === 'nothing' ? 'not-sent' : 'lost', message }));
      };
      client.on('socket', (socket) => {
        if (!socket.connecting) reached = 'connection';
        else
          socket.once('connect', () => {
            reached = 'connection';
          });
      });
      client.on('error', fail);
      client.on('response', (answer) => {
        readExchange(answer).then((read) => {
          clearTimeout(overdue);
          resolve(Ok(read));
        }, fail);
      });
      client.end(body?.bytes);
    });

  return {
    send: exchange,
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
};
