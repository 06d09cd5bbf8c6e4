import type { RequestsInputs } from './inputs.js';
import type { ClassPolicy, RequestBase } from './types.js';

/**
 * Creates the state that requests of all kinds have in common, before the first placement.
 *
 * @param policy - policy of the request's class
 * @param inputs - clock
 * @returns the state of a request that was sent to no endpoint
 */
export const createRequestBase = (policy: ClassPolicy, inputs: RequestsInputs): RequestBase => ({
  policy,
  deadlineAt: inputs.now() + policy.deadlineMs,
  excluded: new Set(),
  attempts: 0,
  refusals: 0,
  placement: null,
  waiting: 'no',
  lastFailureReason: '',
  verdict: 'not-run',
});
