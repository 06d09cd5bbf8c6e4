import type { FastifyRequest } from 'fastify';
import { MAX_REQUEST_ID_LENGTH } from './constants.js';
import type { RequestId } from '../../core/ids.js';

/**
 * Reads the request id that the caller sent.
 *
 * @param request - HTTP request
 * @returns the value of `X-Request-Id`, or undefined when it is absent, empty or too long
 */
export const readCallerRequestId = (request: FastifyRequest): RequestId | undefined => {
  const header = request.headers['x-request-id'];
  if (typeof header !== 'string' || header === '') return undefined;
  return header.length <= MAX_REQUEST_ID_LENGTH ? header : undefined;
};
