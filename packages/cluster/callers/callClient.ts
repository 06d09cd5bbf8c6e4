import { request } from 'undici';
import type { CallerAnswer, CallerTarget, ServiceCall } from './types.js';

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    // A body may be something other than JSON; the caller decides whether that is an error.
    return undefined;
  }
};

const readHeader = (value: string | string[] | undefined): string =>
  typeof value === 'string' ? value : '';

/**
 * Sends a request to the caller API and reads the whole answer.
 *
 * @param target - address and key
 * @param call - method, path, idempotency key and body; a string body is sent unchanged
 * @returns the answer, whatever its status
 * @throws Error when no answer is received
 */
export const sendCall = async (target: CallerTarget, call: ServiceCall): Promise<CallerAnswer> => {
  const { idempotencyKey, body, signal } = call;
  const answer = await request(`${target.baseUrl}${call.path}`, {
    method: call.method,
    headers: {
      authorization: `Bearer ${target.key}`,
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      ...call.headers,
    },
    body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body),
    reset: true,
    ...(signal === undefined ? {} : { signal }),
  });
  const text = await answer.body.text();
  return {
    status: answer.statusCode,
    type: readHeader(answer.headers['content-type']),
    requestId: readHeader(answer.headers['x-request-id']),
    text,
    json: parseJson(text),
  };
};
