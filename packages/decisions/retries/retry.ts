import {
  BACKOFF_BASE_MS,
  BACKOFF_MAX_MS,
  BUDGET_FLOOR,
  CUSTOMER_LIMITS,
  MAX_ATTEMPTS,
  RETRIES_PER_SUCCESS,
} from './constants.js';
import type {
  BudgetLimits,
  FailedAttempt,
  GiveUpReason,
  RetryBudget,
  RetryDecision,
  TakenRetry,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';
import type { Failure, FailureCode } from '../../core/verdict.js';

/**
 * Creates the budget of a customer and class that is known to have spent nothing. A daemon does not
 * know this after its start; its budgets come from `createBudgetTable`.
 *
 * @param now - current instant
 * @returns a budget at the floor
 */
export const initRetryBudget = (now: Millis): RetryBudget => ({
  retries: BUDGET_FLOOR,
  updatedAt: now,
});

/** Refills a budget below the floor for the time since its last update. */
const applyFloorRefill = (
  budget: RetryBudget,
  now: Millis,
  { floor, refillPerMs }: BudgetLimits,
): RetryBudget => {
  const updatedAt = Math.max(budget.updatedAt, now);
  const refill = (updatedAt - budget.updatedAt) * refillPerMs;
  const retries = Math.max(budget.retries, Math.min(floor, budget.retries + refill));
  return { retries, updatedAt };
};

/**
 * Reports whether a budget holds a whole retry.
 *
 * @param budget - budget before the retry
 * @param now - current instant
 * @param limits - limits of the budget
 * @returns true if a retry can be charged now
 */
export const hasRetry = (
  budget: RetryBudget,
  now: Millis,
  limits: BudgetLimits = CUSTOMER_LIMITS,
): boolean => applyFloorRefill(budget, now, limits).retries >= 1;

/**
 * Adds the credit of one success to a budget.
 *
 * @param budget - budget before the success
 * @param now - current instant
 * @param limits - limits of the budget
 * @returns the budget after it
 */
export const recordSuccess = (
  budget: RetryBudget,
  now: Millis,
  limits: BudgetLimits = CUSTOMER_LIMITS,
): RetryBudget => {
  const { retries, updatedAt } = applyFloorRefill(budget, now, limits);
  return { retries: Math.min(limits.max, retries + RETRIES_PER_SUCCESS), updatedAt };
};

/** Reports whether a retry, at another endpoint or later at the same one, may succeed. */
const isTransient = (code: FailureCode): boolean => {
  switch (code) {
    case 'overloaded':
    case 'no-endpoint':
    case 'draining':
    case 'data-centre-out':
    case 'stale-incarnation':
    case 'endpoint-failed':
    case 'endpoint-lost':
    case 'stream-lost':
    case 'lost-race':
      return true;
    case 'bad-request':
    case 'unauthorized':
    case 'unknown-class':
    case 'unknown-model':
    case 'unknown-service':
    case 'unsupported-format':
    case 'too-large':
    case 'shed':
    case 'deadline-exceeded':
    case 'key-expired':
    case 'key-conflict':
    case 'key-in-flight':
    case 'key-unresolved':
    case 'log-unavailable':
    case 'quarantined':
    case 'fenced':
    case 'cancelled':
    case 'internal':
      return false;
    default:
      return assertNever(code);
  }
};

const findGiveUpReason = (attempt: FailedAttempt, failure: Failure): GiveUpReason | null => {
  if (attempt.delivered === 'some') return 'answer-delivered';
  if (failure.verdict !== 'not-run' && attempt.repeat === 'never') return 'may-have-run';
  if (!isTransient(failure.code)) return 'permanent-failure';
  return attempt.attempts >= MAX_ATTEMPTS ? 'attempts-spent' : null;
};

/**
 * Computes an exponential back-off with full jitter, which spreads the retries of simultaneous
 * failures over the whole interval.
 */
const computeDelay = (attempts: number, failure: Failure, random: RandomSource): Millis => {
  const limit = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (attempts - 1));
  return (failure.retryAfterMs ?? 0) + limit * random.next();
};

/**
 * Decides whether a failed attempt is retried. The retry is charged by `takeRetry` when it is sent,
 * since it may wait for its delay, for an endpoint or for a paused process.
 *
 * @param budget - budget of the request's customer and class
 * @param attempt - the failed attempt and the limits of its request
 * @param failure - why it failed, with a verdict that covers all attempts so far
 * @param now - current instant
 * @param random - source of the jitter
 * @returns the decision
 */
export const decideRetry = (
  budget: RetryBudget,
  attempt: FailedAttempt,
  failure: Failure,
  now: Millis,
  random: RandomSource,
): RetryDecision => {
  const reason = findGiveUpReason(attempt, failure);
  if (reason !== null) return { kind: 'give-up', reason };
  const delayMs = computeDelay(attempt.attempts, failure, random);
  if (now + delayMs + attempt.minAttemptMs > attempt.deadline) {
    return { kind: 'give-up', reason: 'deadline-too-near' };
  }
  return hasRetry(budget, now)
    ? { kind: 'retry', delayMs }
    : { kind: 'give-up', reason: 'budget-spent' };
};

/**
 * Charges one retry, at the instant at which it is sent.
 *
 * @param budget - budget of the request's customer and class
 * @param now - current instant
 * @param limits - limits of the budget
 * @returns whether the budget held a whole retry, and the budget after it
 */
export const takeRetry = (
  budget: RetryBudget,
  now: Millis,
  limits: BudgetLimits = CUSTOMER_LIMITS,
): TakenRetry => {
  const current = applyFloorRefill(budget, now, limits);
  return current.retries < 1
    ? { kind: 'spent', budget: current }
    : { kind: 'taken', budget: { ...current, retries: current.retries - 1 } };
};
