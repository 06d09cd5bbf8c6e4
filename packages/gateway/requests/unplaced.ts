import { MAX_OVERLOAD_RETRY_SHARE, MIN_OVERLOAD_RETRY_SHARE } from './constants.js';
import { createQuarantineFailure } from './content.js';
import { failRequest, refuseRequest } from './outcomes.js';
import type { Effects, Forwarding, RequestsContext } from './types.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { REST_RETURN_MS } from '../../decisions/forwarding/rest.js';
import type { QuarantinedContent } from '../../decisions/quarantine/crashEvidence.js';

/** Refuses a request that has not run, or fails one that an earlier attempt may have run. */
const endUnplaced = (
  forwarding: Forwarding,
  refusal: Failure,
  context: RequestsContext,
): Effects =>
  forwarding.verdict === 'not-run'
    ? refuseRequest(forwarding, refusal, context)
    : failRequest(forwarding, refusal.message, context);

/**
 * Ends a request for which there is no endpoint.
 *
 * @param forwarding - request without a running attempt
 * @param reason - error message for the log and the caller
 * @param context - state and inputs
 * @returns effects
 */
export const refuseUnplaced = (
  forwarding: Forwarding,
  reason: string,
  context: RequestsContext,
): Effects => endUnplaced(forwarding, createFailure('not-run', 'no-endpoint', reason), context);

/**
 * Ends a request whose content is quarantined.
 *
 * @param forwarding - request without a running attempt
 * @param content - quarantined content
 * @param context - state and inputs
 * @returns effects
 */
export const refuseQuarantined = (
  forwarding: Forwarding,
  content: QuarantinedContent,
  context: RequestsContext,
): Effects => endUnplaced(forwarding, createQuarantineFailure(content), context);

/**
 * Ends a request of a service whose endpoints have all asked for rest. Its caller is told when the first
 * one returns; the callers are spread over the time of its return.
 *
 * @param forwarding - request without a running attempt
 * @param returnAt - instant at which the first endpoint returns
 * @param context - state and inputs
 * @returns effects
 */
export const refuseResting = (
  forwarding: Forwarding,
  returnAt: Millis,
  context: RequestsContext,
): Effects => {
  const { clock, random } = context.inputs;
  const retryAfterMs = Math.round(returnAt - clock.now() + REST_RETURN_MS * random.next());
  const message = 'all available endpoints have asked for rest';
  const refusal = createFailure('not-run', 'no-endpoint', message, retryAfterMs);
  return endUnplaced(forwarding, refusal, context);
};

/**
 * Ends a request for lack of capacity. Callers retry only a few times and an overload lasts, so
 * they are told to wait for a good part of their remaining time, each for a different one.
 *
 * @param forwarding - request without a running attempt
 * @param context - state and inputs
 * @returns effects
 */
export const refuseOverloaded = (forwarding: Forwarding, context: RequestsContext): Effects => {
  const { clock, random } = context.inputs;
  const share =
    MIN_OVERLOAD_RETRY_SHARE +
    (MAX_OVERLOAD_RETRY_SHARE - MIN_OVERLOAD_RETRY_SHARE) * random.next();
  const retryAfterMs = Math.round((forwarding.deadlineAt - clock.now()) * share);
  const message = 'all available endpoints are overloaded';
  const refusal = createFailure('not-run', 'no-endpoint', message, retryAfterMs);
  return endUnplaced(forwarding, refusal, context);
};
