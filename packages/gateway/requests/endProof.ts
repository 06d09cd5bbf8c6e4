import { failAttempt, isExpectedToRun } from './crashes.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import type { ProbeResult } from '../events.js';

/**
 * Reports whether the end of an answer may be that of its endpoint. The system ends the connections of a
 * process that crashes, and an answer without a length ends in the same way.
 *
 * @param attempt - attempt whose answer ended
 * @returns true until the endpoint has been probed
 */
export const isEndUnproven = ({ endProof, head }: Attempt): boolean =>
  endProof === 'none' && head?.framing === 'until-close';

/**
 * Probes the endpoint of an answer that ended with its connection.
 *
 * @param forwarding - request
 * @param attempt - attempt whose answer ended
 * @param context - state and inputs
 * @returns effects
 */
export const probeEnd = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  attempt.endProof = 'asked';
  const message = 'the connection ended, and with it an answer without a length';
  return failAttempt(forwarding, attempt, { kind: 'broken', message }, context);
};

/**
 * Takes the end of an answer for that of the whole one.
 *
 * @param attempt - attempt whose answer ended
 */
export const settleEnd = (attempt: Attempt): void => {
  attempt.endProof = 'given';
  attempt.failure = null;
};

/**
 * Takes the result of a probe into account: an endpoint that still takes connections, or that was about to
 * leave, has ended its answer itself.
 *
 * @param attempt - attempt whose endpoint was probed
 * @param result - whether the endpoint accepts connections
 * @param context - inputs
 * @returns `proved` if the answer is complete
 */
export const recordProof = (
  attempt: Attempt,
  result: ProbeResult,
  context: RequestsContext,
): 'proved' | 'not-proved' => {
  if (attempt.endProof !== 'asked') return 'not-proved';
  if (result === 'refused' && isExpectedToRun(attempt, context)) return 'not-proved';
  settleEnd(attempt);
  return 'proved';
};

/**
 * Finds the attempt of a request whose answer has ended and whose endpoint has not answered the probe.
 *
 * @param forwarding - request
 * @returns the attempt, or null
 */
export const findUnproven = ({ attempts }: Forwarding): Attempt | null =>
  [...attempts.values()].find(({ endProof }) => endProof === 'asked') ?? null;
