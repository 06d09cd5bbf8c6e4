import type { ClassPolicy, RequestBase } from './types.js';
import type { CallerRequest } from '../types.js';

/**
 * Creates the state that requests of all kinds have in common, before the first placement.
 *
 * @param policy - policy of the request's class
 * @param request - request of the caller; its deadline counts from its receipt, since the process
 *   may stand still before the loop takes it up
 * @returns the state of a request that was sent to no endpoint
 */
export const createRequestBase = (policy: ClassPolicy, request: CallerRequest): RequestBase => ({
  policy,
  deadlineAt: request.receivedAt + policy.deadlineMs,
  excluded: new Set(),
  attempts: 0,
  refusals: 0,
  placement: null,
  waiting: 'no',
  purpose: { kind: 'first' },
  lastFailureReason: '',
  verdict: 'not-run',
});
