import type { Millis } from '../../core/clock.js';
import type { Failure } from '../../core/verdict.js';

/** Retry budget of one customer in one class. */
export interface RetryBudget {
  /** Retries that are left; fractions accumulate until they reach a whole retry. */
  readonly retries: number;
  readonly updatedAt: Millis;
}

/** Limits of a budget. */
export interface BudgetLimits {
  /** Retries up to which the budget refills with time. */
  readonly floor: number;
  /** Retries per millisecond that it gains below the floor. */
  readonly refillPerMs: number;
  readonly max: number;
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

/** Result of charging one retry, with the budget after it. */
export type TakenRetry =
  | { readonly kind: 'taken'; readonly budget: RetryBudget }
  | { readonly kind: 'spent'; readonly budget: RetryBudget };

/** Why a request is sent to an endpoint daemon. */
export type SendPurpose =
  | { readonly kind: 'first' }
  /** An endpoint daemon refused the attempt before, which ran nowhere and costs no budget. */
  | { readonly kind: 'after-refusal'; readonly failure: Failure }
  /** The attempt before failed, so that this one is charged to the retry budget. */
  | { readonly kind: 'after-failure'; readonly failure: Failure };

declare const SEND_PERMIT: unique symbol;

/** Permission to send a request once. Only the send owner can create one. */
export interface SendPermit {
  readonly [SEND_PERMIT]: true;
  /** `resume`: reads a running generation from its endpoint daemon, and no engine runs again. */
  readonly purpose: SendPurpose['kind'] | 'resume';
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** Deadline of the request. The time that is left of it is taken when the message is built. */
  readonly deadlineAt: Millis;
}
