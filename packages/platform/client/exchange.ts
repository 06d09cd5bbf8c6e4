import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
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
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly json?: unknown;
  /** Time that the service may hold its answer back, in addition to the timeout. */
  readonly waitMs?: Millis;
  readonly signal?: AbortSignal | undefined;
}

export interface Exchanger {
  readonly send: (outgoing: ExchangeRequest) => Promise<Result<Exchange, ExchangeError>>;
  readonly close: () => Promise<void>;
}

/** Errors that end a connection attempt; nothing was sent on it. */
const CONNECT_ERRORS: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
];

const collectCodes = (error: unknown): readonly string[] => {
  if (error instanceof AggregateError) return error.errors.flatMap(collectCodes);
  if (!(error instanceof Error)) return [];
  const code = 'code' in error && typeof error.code === 'string' ? [error.code] : [];
  return code;
};

const toExchangeError = (error: unknown): ExchangeError => {
  const message = error instanceof Error ? error.message : String(error);
  const codes = collectCodes(error);
  const notSent = codes.length > 0 && codes.every((code) => CONNECT_ERRORS.includes(code));
  return { kind: notSent ? 'not-sent' : 'lost', message };
};

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

const readExchange = async (answer: Dispatcher.ResponseData): Promise<Exchange> => {
  const header = answer.headers['retry-after'];
  const text = Array.isArray(header) ? header[0] : header;
  return {
    status: answer.statusCode,
    retryAfterMs: parseRetryAfter(text, Date.now()),
    body: await answer.body.bytes(),
  };
};

const buildSignal = (timeoutMs: Millis, signal: AbortSignal | undefined): AbortSignal => {
  const timeout = AbortSignal.timeout(Math.ceil(timeoutMs));
  return signal === undefined ? timeout : AbortSignal.any([timeout, signal]);
};

/**
 * Creates the connections to one service of the platform.
 *
 * @param options - root address and timeout
 * @returns a sender that never throws for a failure of the service or the network
 */
export const createExchanger = (options: ClientOptions): Exchanger => {
  const dispatcher = new Agent({
    connect: { timeout: options.timeoutMs },
    maxResponseSize: MAX_ANSWER_BYTES,
  });
  const send = async (outgoing: ExchangeRequest): Promise<Result<Exchange, ExchangeError>> => {
    const { json, method, path, signal, waitMs = 0 } = outgoing;
    try {
      const answer = await request(`${options.baseUrl}${path}`, {
        dispatcher,
        method,
        signal: buildSignal(options.timeoutMs + waitMs, signal),
        ...(json === undefined
          ? {}
          : { body: JSON.stringify(json), headers: { 'content-type': 'application/json' } }),
      });
      return Ok(await readExchange(answer));
    } catch (error) {
      return Err(toExchangeError(error));
    }
  };
  return { send, close: () => dispatcher.close() };
};
