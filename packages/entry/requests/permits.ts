import type { Result } from 'ts-results-es';
import { MIN_ATTEMPT_MS } from './constants.js';
import type { RequestsInputs } from './inputs.js';
import { failRequest, isEndpointRefusal, releaseAttempt } from './outcomes.js';
import type { RequestStep } from './outcomes.js';
import type { KeyedState, RequestState } from './types.js';
import type { Failure } from '../../core/verdict.js';
import type { SendPermit, SendPurpose } from '../../decisions/retries/types.js';

/**
 * Asks the owner of the sends for the next attempt of a request, at the instant of the send.
 *
 * @param state - placed request
 * @param purpose - why the attempt is sent
 * @param inputs - clock and owner of the sends
 * @returns the permit, or the failure for the caller
 */
export const issueSendPermit = (
  state: RequestState,
  purpose: SendPurpose,
  inputs: RequestsInputs,
): Result<SendPermit, Failure> =>
  inputs.sends.issuePermit(
    {
      customer: state.request.customer,
      className: state.policy.className,
      purpose,
      attempt: state.attempts + 1,
      deadlineAt: state.deadlineAt,
      minAttemptMs: MIN_ATTEMPT_MS,
    },
    inputs.now(),
  );

/**
 * Ends a request whose send was refused after an endpoint was chosen for it.
 *
 * @param state - request
 * @param failure - why it is not sent
 * @param inputs - placements of this daemon and suspicions
 * @returns the step that ends the request
 */
export const failUnsent = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): RequestStep => {
  // The endpoint got nothing, so the request is no suspect of its next crash.
  releaseAttempt(state, 'refused', inputs);
  return failRequest(state, failure, inputs);
};

/**
 * Finds out why the next nonce of a request that runs at most once is dispatched. It follows only a
 * nonce that never starts, but the message of that one may have reached an engine.
 *
 * @param state - keyed request whose intent was read back as active
 * @returns the purpose of the dispatch
 */
export const getDispatchPurpose = ({ attempts, intent }: KeyedState): SendPurpose => {
  const failure = intent.lastFailure;
  if (attempts === 0 || failure === null) return { kind: 'first' };
  return isEndpointRefusal(failure)
    ? { kind: 'after-refusal', failure }
    : { kind: 'after-failure', failure };
};
