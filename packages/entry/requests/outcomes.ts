import type { RequestsInputs } from './inputs.js';
import type { RequestState } from './types.js';
import type { EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { Failure, FailureCode } from '../../core/verdict.js';
import type { AttemptOutcome } from '../../decisions/quarantine/types.js';
import { resolveRefusal } from '../../decisions/retries/attempts.js';
import type { EntryEffect } from '../events.js';

/** Next state of one request; null when it is over. */
export type RequestStep = Step<RequestState | null, EntryEffect>;

/**
 * Ends a request with a failure.
 *
 * @param state - request that fails
 * @param reason - why it ends; earlier attempts can make its verdict worse
 * @param inputs - own placements
 * @param effects - effects that come before
 * @returns the step that ends the request
 */
export const failRequest = (
  state: RequestState,
  reason: Failure,
  inputs: RequestsInputs,
  effects: readonly EntryEffect[] = [],
): RequestStep => {
  const { requestId } = state.request;
  // The intent of a keyed call has settled its verdict with the endpoint daemon.
  const failure = state.kind === 'keyed' ? reason : resolveRefusal(state.verdict, reason);
  releaseAttempt(state, toAttemptOutcome(reason), inputs);
  inputs.suspicions.apply({ kind: 'abandoned', requestId });
  return toStep<RequestState | null, EntryEffect>(
    null,
    ...effects,
    { kind: 'fail-request', requestId, failure },
    {
      kind: 'log',
      name:
        failure.code === 'shed' || failure.code === 'overloaded'
          ? 'request-shed'
          : 'request-failed',
      details: {
        requestId,
        ...(state.placement === null ? {} : { endpoint: state.placement.endpoint }),
        data: {
          code: failure.code,
          verdict: failure.verdict,
          message: failure.message,
          class: state.policy.className,
          attempts: state.attempts,
        },
      },
    },
  );
};

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set();

/**
 * Lets a request wait in the queue. It may then go to any endpoint again: those that refused it
 * earlier may have room by the time it is its turn, and there may be no others.
 *
 * @param state - request without a place
 * @param reason - why no endpoint takes it now
 * @returns the step of the request
 */
export const enqueueRequest = (state: RequestState, reason: string): RequestStep =>
  toStep<RequestState, EntryEffect>({
    ...state,
    waiting: 'in-queue',
    excluded: NO_ENDPOINTS,
    lastFailureReason: reason,
  });

/**
 * Puts a suspected request aside until it may run alone.
 *
 * @param state - request without a place
 * @param inputs - suspicions
 * @returns the step of the request
 */
export const holdRequest = (state: RequestState, inputs: RequestsInputs): RequestStep => {
  const { requestId, fingerprint } = state.request;
  inputs.suspicions.apply({ kind: 'held', requestId, fingerprint });
  return toStep<RequestState, EntryEffect>({ ...state, waiting: 'held' });
};

/**
 * Ends the accounting of an attempt.
 *
 * @param state - request with the attempt's place
 * @param outcome - how it ended
 * @param inputs - own placements and suspicions
 */
export const releaseAttempt = (
  state: RequestState,
  outcome: AttemptOutcome,
  inputs: RequestsInputs,
): void => {
  const { requestId } = state.request;
  inputs.own.releasePlacement(requestId, inputs.now());
  inputs.suspicions.apply({ kind: 'attempt-ended', requestId, outcome });
};

/**
 * Reads from a failure how the attempt ended for the request itself.
 *
 * @param failure - how the attempt ended
 * @returns `refused` when no endpoint worked on the request
 */
export const toAttemptOutcome = (failure: Failure): AttemptOutcome =>
  failure.verdict === 'not-run' ? 'refused' : 'failed';

/**
 * Reports that the endpoint's engine or service broke off, which makes what it ran suspect. It must
 * come before the end of the attempt.
 *
 * @param state - request that the endpoint ran
 * @param failure - failure that its daemon reported
 * @param inputs - suspicions
 */
export const reportCrash = (
  state: RequestState,
  failure: Failure,
  inputs: RequestsInputs,
): void => {
  const { placement } = state;
  if (placement === null || failure.code !== 'endpoint-lost' || failure.verdict === 'not-run')
    return;
  inputs.suspicions.apply({
    kind: 'endpoint-lost',
    cause: 'crash',
    endpoint: placement.endpoint,
    incarnation: placement.engineStart,
    reported: [],
    now: inputs.now(),
  });
};

/** Refusals that tell only of room or of a change that the next heartbeat will show. */
const ENDPOINT_REFUSAL_CODES: ReadonlySet<FailureCode> = new Set([
  'overloaded',
  'draining',
  'data-centre-out',
  'stale-incarnation',
  'endpoint-lost',
]);

/**
 * Tells whether a failure is a refusal by an endpoint daemon that leaves the request to others.
 * It costs no retry budget, since no endpoint worked on the request.
 *
 * @param failure - how the attempt ended
 * @returns true for a bounce
 */
export const isEndpointRefusal = (failure: Failure): boolean =>
  failure.verdict === 'not-run' && ENDPOINT_REFUSAL_CODES.has(failure.code);

/**
 * Describes the end of an attempt for the time line.
 *
 * @param state - request
 * @param failure - how the attempt ended, or null for success
 * @returns the log effect
 */
export const logAttemptEnd = (state: RequestState, failure: Failure | null): EntryEffect => ({
  kind: 'log',
  name: 'attempt-ended',
  details: {
    requestId: state.request.requestId,
    ...(state.placement === null ? {} : { endpoint: state.placement.endpoint }),
    data: {
      verdict: failure?.verdict ?? 'ran',
      code: failure?.code ?? 'ok',
      message: failure?.message ?? '',
    },
  },
});
