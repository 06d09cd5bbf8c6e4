import type { AttemptOrder } from '../events.js';
import type { AnswerHead, HeadCodec } from '../types.js';

const HEAD: Omit<AnswerHead, 'status'> = {
  headers: [],
  requestId: 'r-1',
  signature: 'signed',
  proof: 'none',
  encoding: 'plain',
  requestsPerSecond: null,
  load: { kind: 'none' },
  framing: 'framed',
};

/** Codec that decodes no headers. */
export const CODEC: HeadCodec = {
  decodeCaller: () => {
    throw new Error('not used');
  },
  encodeAttempt: (request) => ['Host', 'test', 'Content-Length', request.body.length.toString()],
  decodeAnswer: (status) => ({ ...HEAD, status }),
  isReadinessPath: () => false,
};

/**
 * Builds the order of an attempt.
 *
 * @param port - port of the endpoint on this machine
 * @returns the order
 */
export const buildOrder = (port: number): AttemptOrder => ({
  key: 1,
  attempt: 1,
  address: { host: '127.0.0.1', port },
  head: {
    endpointId: 'e-1',
    leftMs: 1_000,
    customer: null,
    rank: null,
    lastEventId: null,
    backup: null,
    copy: null,
  },
  request: {
    key: 1,
    id: 'r-1',
    method: 'POST',
    path: '/a/',
    host: 'test',
    headers: [],
    body: Buffer.from('x'),
    credential: null,
    callerTimeoutMs: 1_000,
    demand: null,
    promptParts: [],
    lastEventId: null,
    receivedAt: 0,
  },
});
