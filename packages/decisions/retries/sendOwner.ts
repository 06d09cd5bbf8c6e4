import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createBudgetTable } from './budgetTable.js';
import { SHARED_LIMITS } from './constants.js';
import { decideRetry, hasRetry, recordSuccess, takeRetry } from './retry.js';
import type {
  FailedAttempt,
  RetryBudget,
  RetryDecision,
  SendPermit,
  SendPurpose,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

/** Customer and class that a retry is charged to. */
export interface BudgetHolder {
  readonly customer: CustomerId;
  readonly className: ClassName;
}

/** A request that is about to be sent to an endpoint daemon. */
export interface SendRequest extends BudgetHolder {
  readonly purpose: SendPurpose;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly deadlineAt: Millis;
  /** Minimum time before the deadline that makes a further attempt worthwhile. */
  readonly minAttemptMs: Millis;
}

/**
 * Owner of everything that a daemon sends to endpoint daemons for its callers. It alone creates
 * permits, and the effects that send require one. So each further attempt is charged once, when it
 * is sent, and nothing is sent past its deadline, however long it waited.
 */
export interface SendOwner {
  /** Decides whether a failed attempt is retried; the retry is charged when it is sent. */
  readonly decideRetry: (
    holder: BudgetHolder,
    attempt: FailedAttempt,
    failure: Failure,
    now: Millis,
    random: RandomSource,
  ) => RetryDecision;
  /** Permits one send at the current instant and charges it, or refuses it for the caller. */
  readonly issuePermit: (request: SendRequest, now: Millis) => Result<SendPermit, Failure>;
  /**
   * Permits to resume a stream. It is not charged, since the endpoint daemon answers from its buffer,
   * and the deadline bounds the start of a stream and not its reader.
   */
  readonly issueResumePermit: (attempt: number, deadlineAt: Millis) => SendPermit;
  /** Adds the credit of one success. */
  readonly recordSuccess: (holder: BudgetHolder, now: Millis) => void;
}

/** The only place that creates a permit, since the key of its brand is not exported. */
const buildPermit = (
  purpose: SendPermit['purpose'],
  attempt: number,
  deadlineAt: Millis,
): SendPermit => ({ purpose, attempt, deadlineAt }) as SendPermit;

const admitSend = ({ purpose, attempt, deadlineAt }: SendRequest): Result<SendPermit, Failure> =>
  Ok(buildPermit(purpose.kind, attempt, deadlineAt));

const refuseLate = (message: string): Result<SendPermit, Failure> =>
  Err(createFailure('not-run', 'deadline-exceeded', message));

/**
 * Creates the owner of a daemon.
 *
 * @param startedAt - instant at which the process started, on the clock of the later calls
 * @param capacity - maximum number of budgets; the default serves the target size
 * @returns the owner; its budgets start empty
 */
export const createSendOwner = (startedAt: Millis, capacity?: number): SendOwner => {
  const budgets = createBudgetTable(startedAt, capacity);
  // Bounds the sum over all customers; what the process spent before its start is not known.
  let shared: RetryBudget = { retries: 0, updatedAt: startedAt };

  const chargeRetry = (
    request: SendRequest,
    failure: Failure,
    now: Millis,
  ): Result<SendPermit, Failure> => {
    const { customer, className } = request;
    const taken = takeRetry(budgets.get(customer, className, now), now);
    const takenOfShared = takeRetry(shared, now, SHARED_LIMITS);
    if (taken.kind === 'spent' || takenOfShared.kind === 'spent') return Err(failure);
    budgets.update(customer, className, taken.budget);
    shared = takenOfShared.budget;
    return admitSend(request);
  };

  const issuePermit: SendOwner['issuePermit'] = (request, now) => {
    const { purpose, deadlineAt, minAttemptMs } = request;
    switch (purpose.kind) {
      case 'first':
        return now < deadlineAt
          ? admitSend(request)
          : refuseLate('the deadline passed before the request was sent');
      case 'after-refusal':
        return now < deadlineAt
          ? admitSend(request)
          : refuseLate(`the deadline passed after a refusal: ${purpose.failure.message}`);
      case 'after-failure':
        return now + minAttemptMs <= deadlineAt
          ? chargeRetry(request, purpose.failure, now)
          : refuseLate(`no time was left for another attempt: ${purpose.failure.message}`);
      default:
        return assertNever(purpose);
    }
  };

  return {
    decideRetry: ({ customer, className }, attempt, failure, now, random) => {
      const budget = budgets.get(customer, className, now);
      const decision = decideRetry(budget, attempt, failure, now, random);
      return decision.kind === 'give-up' || hasRetry(shared, now, SHARED_LIMITS)
        ? decision
        : { kind: 'give-up', reason: 'budget-spent' };
    },
    issuePermit,
    issueResumePermit: (attempt, deadlineAt) => buildPermit('resume', attempt, deadlineAt),
    recordSuccess: ({ customer, className }, now) => {
      const budget = budgets.get(customer, className, now);
      budgets.update(customer, className, recordSuccess(budget, now));
      shared = recordSuccess(shared, now, SHARED_LIMITS);
    },
  };
};
