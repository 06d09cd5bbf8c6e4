import { checkRequestContent, computeFingerprints } from './content.js';
import { SURVIVED_EVENTS } from './constants.js';
import { failRequest } from './outcomes.js';
import { endAttempt } from './retrying.js';
import { cancelRuns } from './runStops.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import type { CrashProgress } from '../../decisions/quarantine/types.js';
import type { AttemptFailure, ProbeResult } from '../events.js';

/**
 * Handles the failure of an attempt. When the connection broke after the request was sent, the
 * endpoint is probed first, since a crash and a reset of one connection have different consequences.
 *
 * @param forwarding - request
 * @param attempt - attempt that failed
 * @param failure - how it failed
 * @param context - state and inputs
 * @returns effects
 */
export const failAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  failure: AttemptFailure,
  context: RequestsContext,
): Effects => {
  if (failure.kind !== 'broken' || attempt.phase === 'connecting') {
    return endAttempt(forwarding, attempt, failure, context);
  }
  attempt.failure = failure;
  return [
    {
      kind: 'probe-endpoint',
      key: forwarding.request.key,
      attempt: attempt.number,
      address: attempt.endpoint.address,
    },
  ];
};

/**
 * Reports whether an endpoint is expected to run; one that leaves may stop at any time.
 *
 * @param attempt - attempt at the endpoint
 * @param context - inputs
 * @returns false if it is not registered any more, or leaves
 */
export const isExpectedToRun = ({ endpoint }: Attempt, { inputs }: RequestsContext): boolean => {
  const state = inputs.findHolder(endpoint);
  return state.kind === 'known' && state.leavingAt === null;
};

/**
 * Tells how strongly a crash suspects its request. The second endpoint that crashes on one request had
 * accepted it after the first crash, so the two did not end of a shared cause, and the request is as
 * suspect as one whose answer was beginning.
 */
const getProgress = ({ crashedEndpoints }: Forwarding, { phase }: Attempt): CrashProgress =>
  phase === 'answering' || crashedEndpoints > 0 ? 'beginning' : 'waiting';

/**
 * Ends an attempt whose connection broke, once its endpoint has been probed.
 *
 * @param forwarding - request
 * @param attempt - attempt that failed
 * @param result - whether the endpoint accepts connections
 * @param context - state and inputs
 * @returns effects
 */
export const endProbedAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  result: ProbeResult,
  context: RequestsContext,
): Effects => {
  const { failure } = attempt;
  if (failure === null) return [];
  attempt.probe = result;
  if (result !== 'refused' || !isExpectedToRun(attempt, context)) {
    return endAttempt(forwarding, attempt, failure, context);
  }
  const message = `${failure.message}; the endpoint refuses connections`;
  const begun = { kind: 'crashed', progress: 'begun', message } as const;
  if (attempt.events >= SURVIVED_EVENTS) return endAttempt(forwarding, attempt, begun, context);
  const progress = getProgress(forwarding, attempt);
  forwarding.crashedEndpoints += 1;
  // A request with an event is suspected, and may still go on elsewhere.
  const end = attempt.events > 0 ? begun : ({ kind: 'crashed', progress, message } as const);
  const { request } = forwarding;
  const { id, startedAt } = attempt.endpoint;
  return [
    {
      kind: 'post',
      event: {
        to: 'quarantine',
        kind: 'crash-observed',
        requestId: request.id,
        endpoint: `${id}@${(startedAt ?? 0).toString()}`,
        progress,
        content: computeFingerprints(request, context.inputs),
      },
    },
    ...endAttempt(forwarding, attempt, end, context),
  ];
};

const isUnanswered = ({ attempts, delivered, service }: Forwarding): boolean =>
  service.engine !== null &&
  delivered === 'nothing' &&
  attempts.size > 0 &&
  [...attempts.values()].every(({ events }) => events === 0);

/**
 * Cancels the generations with quarantined content that no engine has begun to answer, before they
 * crash their engines.
 *
 * @param context - state and inputs
 * @returns effects
 */
export const cancelQuarantined = (context: RequestsContext): Effects => {
  const matching = [...context.state.inFlight.values()].filter(
    (forwarding) =>
      isUnanswered(forwarding) &&
      checkRequestContent(forwarding.request, context.inputs).kind === 'quarantined',
  );
  return matching.flatMap((forwarding) => {
    const isSent = [...forwarding.attempts.values()].some(({ phase }) => phase !== 'connecting');
    if (isSent) forwarding.verdict = 'may-have-run';
    const reason = 'the content of the request was quarantined before its answer began';
    return [...cancelRuns(forwarding, context), ...failRequest(forwarding, reason, context)];
  });
};
