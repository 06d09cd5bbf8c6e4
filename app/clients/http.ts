import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { request } from 'undici';
import type { Millis } from '../../packages/core/clock.js';

/** Timeout for the headers and for each part of the body of a response. */
const RESPONSE_TIMEOUT_MS: Millis = 10_000;

export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  /** Bearer token for the `Authorization` header. */
  readonly key?: string;
  readonly body?: unknown;
}

export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Why a request has no response. */
export interface RequestFailure {
  /** Whether the server may have executed the request. */
  readonly verdict: 'not-run' | 'may-have-run';
  readonly message: string;
}

const buildHeaders = (options: JsonRequest): Readonly<Record<string, string>> => ({
  accept: 'application/json',
  ...(options.body === undefined ? {} : { 'content-type': 'application/json' }),
  ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
});

const describeError = (url: string, error: unknown): RequestFailure => {
  const { code, message } = error as { readonly code?: string; readonly message?: string };
  return {
    verdict: code === 'ECONNREFUSED' ? 'not-run' : 'may-have-run',
    message: `${url} does not answer: ${message === undefined || message === '' ? (code ?? 'unknown error') : message}`,
  };
};

/**
 * Sends one request and reads its JSON response.
 *
 * @param options - method, URL, key and body
 * @returns status and body of a response of any status, or why there is none
 */
export const fetchJson = async (
  options: JsonRequest,
): Promise<Result<JsonResponse, RequestFailure>> => {
  try {
    const response = await request(options.url, {
      method: options.method,
      headers: buildHeaders(options),
      body: options.body === undefined ? null : JSON.stringify(options.body),
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
    return Ok({ status: response.statusCode, body: await response.body.json() });
  } catch (error) {
    return Err(describeError(options.url, error));
  }
};
