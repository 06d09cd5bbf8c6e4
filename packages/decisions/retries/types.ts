import type { Millis } from '../../core/clock.js';

/** Retries that one customer may still make in one class. */
export interface RetryBudget {
  readonly retries: number;
  readonly updatedAt: Millis;
}

/** The attempt that failed, and what the request allows. */
export interface FailedAttempt {
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  readonly repeat: 'idempotent' | 'never';
  readonly shown: 'nothing' | 'some';
  readonly deadline: Millis;
  /** Shortest time in which another attempt can still be useful. */
  readonly minimumMs: Millis;
}

/** Why a failed attempt is the last one. */
export type GiveUpReason =
  | 'permanent-failure'
  | 'answer-shown'
  | 'may-have-run'
  | 'attempts-spent'
  | 'deadline-too-near'
  | 'budget-spent';

/** What follows a failed attempt. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: Millis }
  | { readonly kind: 'give-up'; readonly reason: GiveUpReason };

/** Decision together with the budget that is left. */
export interface RetryOutcome {
  readonly decision: RetryDecision;
  readonly budget: RetryBudget;
}
