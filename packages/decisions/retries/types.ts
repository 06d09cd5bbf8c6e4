import type { Millis } from '../../core/clock.js';

/** Retry budget of one customer in one class. */
export interface RetryBudget {
  /** Retries that are left; fractions accumulate until they reach a whole retry. */
  readonly retries: number;
  readonly updatedAt: Millis;
}

/** A failed attempt and the limits of its request. */
export interface FailedAttempt {
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  /** `never`: the request must not run twice. */
  readonly repeat: 'idempotent' | 'never';
  /** Whether the caller has already received a part of the answer. */
  readonly delivered: 'nothing' | 'some';
  readonly deadline: Millis;
  /** Minimum time before the deadline that makes another attempt worthwhile. */
  readonly minAttemptMs: Millis;
}

/** Why a failed attempt is not retried. */
export type GiveUpReason =
  | 'permanent-failure'
  | 'answer-delivered'
  | 'may-have-run'
  | 'attempts-spent'
  | 'deadline-too-near'
  | 'budget-spent';

/** Whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: Millis }
  | { readonly kind: 'give-up'; readonly reason: GiveUpReason };

/** Retry decision and the budget after it. */
export interface RetryOutcome {
  readonly decision: RetryDecision;
  readonly budget: RetryBudget;
}
