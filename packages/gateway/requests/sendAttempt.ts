import { removeAttempt } from './answerMemory.js';
import { failRequest } from './outcomes.js';
import { endAttempt, expireRequest } from './retrying.js';
import { startRunChecks } from './runChecks.js';
import { getBudget } from './sendDecisions.js';
import { startOverlap } from './silence.js';
import { checkAttempt } from './willingness.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { commitSend } from '../../decisions/forwarding/sendPermits.js';
import type { Willingness } from '../../decisions/forwarding/statements.js';

const WITHDRAWAL_REASONS = {
  leaving: 'the endpoint said that it leaves before the request was sent',
  resting: 'the endpoint asked for rest before the request was sent',
} as const satisfies Record<Exclude<Willingness, 'willing'>, string>;

/** Gives up an attempt that is connected and must not be sent any more. */
const cancelUnsent = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  removeAttempt(forwarding, attempt, context.state);
  const cancel = {
    kind: 'cancel-attempt',
    key: forwarding.request.key,
    attempt: attempt.number,
  } as const;
  // Another attempt is still running and may answer.
  if (forwarding.attempts.size > 0) return [cancel];
  return [cancel, ...failRequest(forwarding, 'the retry budget is spent', context)];
};

/** Gives up an attempt whose endpoint takes no request any more, and places the request elsewhere. */
const cancelUnwilling = (
  forwarding: Forwarding,
  attempt: Attempt,
  willingness: Exclude<Willingness, 'willing'>,
  context: RequestsContext,
): Effects => [
  { kind: 'cancel-attempt', key: forwarding.request.key, attempt: attempt.number },
  ...endAttempt(
    forwarding,
    attempt,
    { kind: 'withdrawn', message: WITHDRAWAL_REASONS[willingness] },
    context,
  ),
];

/**
 * Sends the request of an attempt whose connection stands. All that depends on time is decided here:
 * the daemon may have been paused since it opened the attempt.
 *
 * @param forwarding - request
 * @param attempt - attempt that is connected
 * @param context - state and inputs
 * @returns effects
 */
export const sendAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const now = context.inputs.clock.now();
  if (now >= forwarding.deadlineAt) return expireRequest(forwarding, context);
  const willingness = checkAttempt(attempt, context);
  if (willingness !== 'willing') return cancelUnwilling(forwarding, attempt, willingness, context);
  if (commitSend(attempt.permit, forwarding.sends, getBudget(forwarding, context), now) === 'spent')
    return cancelUnsent(forwarding, attempt, context);
  // From here on the endpoint may run the request, whatever else waits in the event queue.
  attempt.phase = 'sent';
  attempt.sentAt = now;
  forwarding.sends += 1;
  return [
    {
      kind: 'send-attempt',
      key: forwarding.request.key,
      attempt: attempt.number,
      leftMs: Math.max(1, Math.floor(forwarding.deadlineAt - now)),
    },
    ...startOverlap(forwarding, attempt),
    ...startRunChecks(forwarding, attempt, context),
  ];
};
