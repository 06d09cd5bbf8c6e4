import { createHash } from 'node:crypto';
import type { FenceAnswer } from './endpointMessages.js';
import { assertNever } from '../../core/assertNever.js';
import type { FenceResult, StoredAnswer } from '../../decisions/idempotency/types.js';
import type { KeyedState } from './types.js';
import type { EntryEffect } from '../events.js';
import type { ServiceAnswer } from '../types.js';

/**
 * Adds the digest of the body to an answer.
 *
 * @param answer - answer of the endpoint
 * @returns the answer in the form that an intent stores
 */
export const toStoredAnswer = (answer: ServiceAnswer): StoredAnswer => ({
  ...answer,
  bodyDigest: createHash('sha256').update(answer.body).digest('base64url'),
});

/**
 * Converts the reply of an endpoint daemon to a fence request into the result for the intent.
 *
 * @param answer - reply as the adapter received it
 * @returns the result for the intent
 */
export const toFenceResult = (answer: FenceAnswer): FenceResult => {
  switch (answer.kind) {
    case 'fenced':
    case 'started':
    case 'unknown-incarnation':
      return { kind: answer.kind };
    case 'unreachable':
      return { kind: 'unreachable' };
    case 'finished': {
      const stored = answer.answer === null ? null : toStoredAnswer(answer.answer);
      return {
        kind: 'finished',
        answer: stored,
        status: stored?.status ?? null,
        bodyDigest: stored?.bodyDigest ?? null,
      };
    }
    default:
      return assertNever(answer);
  }
};

/**
 * Builds the log line of a fence request without a reply.
 *
 * @param state - keyed request
 * @param nonce - nonce of the fence request
 * @param reason - why no reply arrived
 * @returns the log effect
 */
export const logUnansweredFence = (
  { request }: KeyedState,
  nonce: string,
  reason: string,
): EntryEffect => ({
  kind: 'log',
  name: 'fence-unanswered',
  details: { requestId: request.requestId, data: { nonce, reason } },
});
