import { request } from 'undici';
import type { CallerAnswer, CallerTarget, ServiceCall } from './types.js';

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    // Whether a body is JSON is for the caller of this function to judge.
    return undefined;
  }
};

const readHeader = (value: string | string[] | undefined): string =>
  typeof value === 'string' ? value : '';

/**
 * Calls a path of the callers' interface and reads the whole answer.
 *
 * @param target - address and key
 * @param call - method, path, key and body; a body that is text is sent as it is
 * @returns the answer, whatever its status
 * @throws Error when nothing answers
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
