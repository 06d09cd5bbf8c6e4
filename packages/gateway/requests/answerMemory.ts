import { removeWaiting } from './waitingRoom.js';
import type { Attempt, Forwarding, RequestsState, WholeAnswer } from './types.js';
import { releaseSend } from '../../decisions/forwarding/sendPermits.js';

/** Updates what an attempt has received and the daemon still keeps. */
const recordHeldBytes = (attempt: Attempt, heldBytes: number, state: RequestsState): void => {
  state.answerBytes += heldBytes - attempt.heldBytes;
  attempt.heldBytes = heldBytes;
};

/**
 * Updates the count of received bytes after an attempt has received more, or has passed some on.
 *
 * @param attempt - attempt that is answered
 * @param state - state whose count is updated
 */
export const updateHeldBytes = (attempt: Attempt, state: RequestsState): void => {
  recordHeldBytes(
    attempt,
    attempt.body.allocatedBytes + attempt.splitter.rest.allocatedBytes,
    state,
  );
};

/**
 * Removes an attempt from its request, with the bytes that it has received. One that was not sent
 * returns its retry to the budget, as does a transfer that it had begun.
 *
 * @param forwarding - request
 * @param attempt - attempt to remove
 * @param state - state whose count is updated
 */
export const removeAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  state: RequestsState,
): void => {
  const { permit, phase, transfer } = attempt;
  if (phase === 'connecting') releaseSend(permit);
  if (transfer !== null && transfer.phase !== 'waiting') releaseSend(transfer.permit);
  forwarding.attempts.delete(attempt.number);
  recordHeldBytes(attempt, 0, state);
};

/**
 * Removes all attempts from their request, with the bytes that they have received.
 *
 * @param forwarding - request
 * @param state - state whose count is updated
 * @returns the removed attempts
 */
export const removeAttempts = (
  forwarding: Forwarding,
  state: RequestsState,
): readonly Attempt[] => {
  const removed = [...forwarding.attempts.values()];
  for (const attempt of removed) removeAttempt(forwarding, attempt, state);
  return removed;
};

/**
 * Keeps the answer of a failed attempt in place of an earlier one.
 *
 * @param forwarding - request
 * @param answer - whole answer
 * @param state - state whose count is updated
 */
export const holdFallbackAnswer = (
  forwarding: Forwarding,
  answer: WholeAnswer,
  state: RequestsState,
): void => {
  state.answerBytes += answer.heldBytes - (forwarding.fallbackAnswer?.heldBytes ?? 0);
  forwarding.fallbackAnswer = answer;
};

/**
 * Removes a request from those in flight, with the bytes of its answers.
 *
 * @param forwarding - request
 * @param state - state whose count is updated
 */
export const removeForwarding = (forwarding: Forwarding, state: RequestsState): void => {
  removeAttempts(forwarding, state);
  if (forwarding.waitingPermit !== null) releaseSend(forwarding.waitingPermit);
  removeWaiting(forwarding, { state });
  state.answerBytes -= forwarding.fallbackAnswer?.heldBytes ?? 0;
  forwarding.fallbackAnswer = null;
  state.inFlight.delete(forwarding.request.key);
};

/** An attempt with its request. */
export interface HoldingAttempt {
  readonly forwarding: Forwarding;
  readonly attempt: Attempt;
}

/**
 * Finds the attempt whose answer takes the most memory.
 *
 * @param state - requests in flight
 * @returns the attempt, or null if none has received anything
 */
export const findLargestAnswer = (state: RequestsState): HoldingAttempt | null => {
  let largest: HoldingAttempt | null = null;
  for (const forwarding of state.inFlight.values()) {
    for (const attempt of forwarding.attempts.values()) {
      if (attempt.heldBytes > (largest?.attempt.heldBytes ?? 0)) largest = { forwarding, attempt };
    }
  }
  return largest;
};
