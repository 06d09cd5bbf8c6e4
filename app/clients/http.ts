import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { request } from 'undici';
import type { Millis } from '../../packages/core/clock.js';

/** Time after which a daemon that does not answer is given up. */
const ANSWER_TIMEOUT_MS: Millis = 10_000;

export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  /** Bearer key. */
  readonly key?: string;
  readonly body?: unknown;
}

export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Why there is no answer. */
export interface NoAnswer {
  /** Whether the server may have acted on the request. */
  readonly verdict: 'not-run' | 'may-have-run';
  readonly message: string;
}

const buildHeaders = (given: JsonRequest): Readonly<Record<string, string>> => ({
  accept: 'application/json',
  ...(given.body === undefined ? {} : { 'content-type': 'application/json' }),
  ...(given.key === undefined ? {} : { authorization: `Bearer ${given.key}` }),
});

const describeError = (url: string, error: unknown): NoAnswer => {
  const { code, message } = error as { readonly code?: string; readonly message?: string };
  return {
    verdict: code === 'ECONNREFUSED' ? 'not-run' : 'may-have-run',
    message: `${url} does not answer: ${message === undefined || message === '' ? (code ?? 'unknown error') : message}`,
  };
};

/**
 * Sends one request and reads its JSON answer.
 *
 * @param given - method, URL, key and body
 * @returns status and body of any answer, or why there is none
 */
export const fetchJson = async (given: JsonRequest): Promise<Result<JsonAnswer, NoAnswer>> => {
  try {
    const answer = await request(given.url, {
      method: given.method,
      headers: buildHeaders(given),
      body: given.body === undefined ? null : JSON.stringify(given.body),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    return Ok({ status: answer.statusCode, body: await answer.body.json() });
  } catch (error) {
    return Err(describeError(given.url, error));
  }
};
