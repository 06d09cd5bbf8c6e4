import { createEndpointClient } from './endpointClient.js';
import type { EndpointClient } from './endpointClient.js';
import { sumLengths } from '../../core/bytes/sumLengths.js';
import { createSystemClock } from '../../core/clock.js';
import type { AttemptOrder } from '../effects.js';
import type { AttemptEvent, RequestsEvent } from '../events.js';
import type { AnswerHead, HeadCodec } from '../types.js';

const HEAD: Omit<AnswerHead, 'status'> = {
  headers: [],
  requestId: 'r-1',
  signature: 'signed',
  proof: 'none',
  encoding: 'plain',
  framing: 'framed',
};

/** Status of an answer by another endpoint at the same address. */
const MISDIRECTED = 421;

/** Codec that decodes no headers; each answer states that its endpoint leaves. */
export const CODEC: HeadCodec = {
  decodeCaller: () => {
    throw new Error('not used');
  },
  encodeAttempt: (request) => [
    'Host',
    'test',
    'Content-Length',
    sumLengths(request.body).toString(),
  ],
  decodeAnswer: (status) => ({ ...HEAD, status }),
  decodeStatements: (status) => (status === MISDIRECTED ? null : [{ kind: 'leaving' }]),
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
  service: 'writer',
  startedAt: 1,
  head: {
    endpointId: 'e-1',
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
    body: [Buffer.from('x')],
    credential: null,
    callerTimeoutMs: 1_000,
    demand: null,
    promptParts: [],
    lastEventId: null,
    receivedAt: 0,
  },
});

/**
 * Creates a client that posts what the endpoints say of themselves, too.
 *
 * @param post - receives the events
 * @param lateness - whether the daemon was busy or paused just now
 * @returns the client
 */
export const createStatedClient = (
  post: (event: AttemptEvent) => void,
  lateness: 'late' | 'in-time' = 'in-time',
): EndpointClient =>
  createEndpointClient({
    codec: CODEC,
    clock: createSystemClock(),
    isLate: () => lateness === 'late',
    post,
    recordReceived: () => undefined,
  });

/**
 * Creates a client whose received bytes nobody counts.
 *
 * @param post - receives the events of the attempts, without what their endpoints say of themselves
 * @returns the client
 */
export const createTestClient = (post: (event: RequestsEvent) => void): EndpointClient =>
  createStatedClient((event) => {
    if (event.to === 'requests') post(event);
  });
