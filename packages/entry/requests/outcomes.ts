import type { RequestsInputs } from './inputs.js';
import type { RequestState } from './types.js';
import type { EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { Failure, FailureCode } from '../../core/verdict.js';
import type { AttemptOutcome } from '../../decisions/quarantine/types.js';
import { resolveRefusal } from '../../decisions/retries/refusal.js';
import type { EntryEffect } from '../events.js';

/** Step of one request; its state is null when the request has ended. */
export type RequestStep = Step<RequestState | null, EntryEffect>;

/**
 * Ends a request with a failure.
 *
 * @param state - request that fails
 * @param reason - failure to report; its verdict is merged with those of earlier attempts
 * @param inputs - suspicions and placements of this daemon
 * @param effects - effects to apply first
 * @returns the step that ends the request
 */
export const failRequest = (
  state: RequestState,
  reason: Failure,
  inputs: RequestsInputs,
  effects: readonly EntryEffect[] = [],
): RequestStep => {
  const { requestId } = state.request;
  // The intent of a keyed request has already resolved the verdict with the endpoint daemon.
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
 * Marks a request as waiting in the queue and clears its excluded endpoints: those that refused it
 * earlier may have capacity by the time it is dequeued, and there may be no others.
 *
 * @param state - request without a placement
 * @param reason - why no endpoint accepts it now
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
 * Holds a request that is suspected of crashing endpoints until it may run alone.
 *
 * @param state - request without a placement
 * @param inputs - suspicions
 * @returns the step of the request
 */
export const holdRequest = (state: RequestState, inputs: RequestsInputs): RequestStep => {
  const { requestId, fingerprint } = state.request;
  inputs.suspicions.apply({ kind: 'held', requestId, fingerprint });
  return toStep<RequestState, EntryEffect>({ ...state, waiting: 'held' });
};

/**
 * Releases the placement of an ended attempt and records its outcome.
 *
 * @param state - request with the placement of the attempt
 * @param outcome - how it ended
 * @param inputs - placements of this daemon and suspicions
 */
export const releaseAttempt = (
  state: RequestState,
  outcome: AttemptOutcome,
  inputs: RequestsInputs,
): void => {
  const { requestId } = state.request;
  inputs.placements.releasePlacement(requestId, inputs.now());
  inputs.suspicions.apply({ kind: 'attempt-ended', requestId, outcome });
};

/**
 * Derives the outcome of an attempt from its failure.
 *
 * @param failure - how the attempt ended
 * @returns `refused` when no endpoint worked on the request
 */
export const toAttemptOutcome = (failure: Failure): AttemptOutcome =>
  failure.verdict === 'not-run' ? 'refused' : 'failed';

/**
 * Reports that the endpoint's engine or service crashed, which makes the requests that it ran
 * suspects. Call it before `releaseAttempt`, after which this request is no longer in flight.
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

/** Refusals for lack of capacity, or for a change that the next heartbeat will report. */
const ENDPOINT_REFUSAL_CODES: ReadonlySet<FailureCode> = new Set([
  'overloaded',
  'draining',
  'data-centre-out',
  'stale-incarnation',
  'endpoint-lost',
]);

/**
 * Reports whether a failure is a refusal after which another endpoint may serve the request. Such a
 * refusal costs no retry budget, since no endpoint worked on the request.
 *
 * @param failure - how the attempt ended
 * @returns true for a refusal by an endpoint daemon
 */
export const isEndpointRefusal = (failure: Failure): boolean =>
  failure.verdict === 'not-run' && ENDPOINT_REFUSAL_CODES.has(failure.code);

/**
 * Builds the log event for the end of an attempt, which the timeline of the request shows.
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
