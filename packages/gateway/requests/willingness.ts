import { isHolderUsable } from './attempts.js';
import { recordSent } from './requestLimits.js';
import type { Attempt, RequestsContext } from './types.js';
import { checkWillingness } from '../../decisions/forwarding/statements.js';
import type { EndpointStatements, Willingness } from '../../decisions/forwarding/statements.js';

/** Whether the attempt was opened since its endpoint asked for rest, and counted in that rest. */
const isCounted = ({ startedAt }: Attempt, stated: EndpointStatements | null): boolean =>
  stated?.rest != null && startedAt >= stated.rest.since;

const checkResumption = (
  attempt: Attempt,
  stated: EndpointStatements | null,
  willingness: Exclude<Willingness, 'willing'>,
  context: RequestsContext,
): Willingness => {
  const { endpoint } = attempt;
  if (willingness === 'resting' && isCounted(attempt, stated)) return 'willing';
  if (!isHolderUsable(endpoint, context)) return willingness;
  if (willingness === 'resting') recordSent(context.state, endpoint.id, context.inputs.clock.now());
  return 'willing';
};

/**
 * Checks whether the endpoint of an attempt still takes its request: it may have stated otherwise since
 * the attempt was opened. An endpoint that leaves or rests still finishes what it holds.
 *
 * @param attempt - attempt that is about to be sent
 * @param context - state and inputs
 * @returns the willingness of the endpoint
 */
export const checkAttempt = (attempt: Attempt, context: RequestsContext): Willingness => {
  const { inputs } = context;
  const stated = inputs.findStatements(attempt.endpoint);
  const willingness = checkWillingness(stated, inputs.clock.now());
  if (willingness === 'willing' || attempt.start === 'anew') return willingness;
  return checkResumption(attempt, stated, willingness, context);
};
