import { MAX_NOT_RUN_ATTEMPTS } from './constants.js';
import type { FleetKnowledge } from './fleetShare.js';
import { commitRetry, recordRetry, releaseRetry, takeRetry } from './retryBudget.js';
import type { BudgetWindow, RetryBudgetSettings } from './budgetWindow.js';
import type { RetryCharge, RetryDecision } from './retryBudget.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/** Why a request is sent to an endpoint. */
export type SendPurpose = 'first' | 'retry' | 'hedge' | 'continuation' | 'transfer';

/** A send of a request that was sent before, or that could not be sent. */
export type FurtherSend =
  | { readonly kind: 'retry' }
  /** Beside a running attempt that has not answered. */
  | { readonly kind: 'hedge' }
  /** From a copy it is the same run; from the last event it is another one. */
  | { readonly kind: 'continuation'; readonly from: 'copy' | 'last-event' }
  /** The source was told to stop, and its memory is elsewhere. */
  | { readonly kind: 'transfer' };

/** What became of the sends of a request until now. */
export interface SendHistory {
  /** Number of endpoints that may run the request. */
  readonly maxEndpoints: number;
  /** Number of times that the request has been sent. */
  readonly sends: number;
  /** Number of ended attempts that may have run the request. */
  readonly possibleRuns: number;
  readonly openAttempts: number;
  /** Number of attempts that ended without running the request. */
  readonly notRunAttempts: number;
}

/** Retry budget of the service that gets a request. */
export interface ServiceBudget {
  readonly window: BudgetWindow;
  readonly settings: RetryBudgetSettings;
  readonly fleet: FleetKnowledge;
  /** Retries that are kept for generations that may have to return to the source of their transfer. */
  readonly heldBack: number;
}

const ISSUED = Symbol('issued');

/**
 * Permission to send a request to one endpoint once. Only this module creates permits, so that every
 * send has passed its rules.
 */
export interface SendPermit {
  readonly [ISSUED]: true;
  readonly purpose: SendPurpose;
  /** Retry that the send takes from the budget; null for one that needs none. */
  charge: RetryCharge | null;
}

/** Why a request is not sent again. */
export type SendDenial = 'endpoints-used' | 'too-many-refusals' | 'budget-spent';

/** Decision on a further send. `budget` is null when the budget was not asked. */
export type SendDecision =
  | {
      readonly kind: 'permitted';
      readonly permit: SendPermit;
      readonly budget: RetryDecision | null;
    }
  | {
      readonly kind: 'denied';
      readonly reason: SendDenial;
      readonly budget: RetryDecision | null;
    };

const issuePermit = (purpose: SendPurpose, charge: RetryCharge | null): SendPermit => ({
  [ISSUED]: true,
  purpose,
  charge,
});

const hasEndpointsLeft = ({ maxEndpoints, openAttempts, possibleRuns }: SendHistory): boolean =>
  possibleRuns + openAttempts < maxEndpoints;

/** Finds the rule that forbids a further send whatever the budget permits. */
const findDenial = (send: FurtherSend, history: SendHistory): SendDenial | null => {
  switch (send.kind) {
    case 'retry':
      if (history.notRunAttempts >= MAX_NOT_RUN_ATTEMPTS) return 'too-many-refusals';
      return hasEndpointsLeft(history) ? null : 'endpoints-used';
    case 'hedge':
      return hasEndpointsLeft(history) ? null : 'endpoints-used';
    case 'continuation':
      return send.from === 'copy' || hasEndpointsLeft(history) ? null : 'endpoints-used';
    case 'transfer':
      return null;
    default:
      return assertNever(send);
  }
};

/** A generation is lost with its transfer; what is sent instead of a request that failed costs less. */
const countHeldBack = (send: FurtherSend, { heldBack }: ServiceBudget): number => {
  switch (send.kind) {
    case 'retry':
    case 'hedge':
      return heldBack;
    case 'continuation':
    case 'transfer':
      return 0;
    default:
      return assertNever(send);
  }
};

/**
 * Permits the first send of a request.
 *
 * @returns the permit
 */
export const admitFirstSend = (): SendPermit => issuePermit('first', null);

/**
 * Decides whether a request may be sent again. A request that has never been sent adds no load, so it
 * needs no budget. The transfer of a run is decided before its source is told to stop; without a permit
 * the run stays there.
 *
 * @param send - what the send is for
 * @param history - earlier sends of the request
 * @param budget - retry budget of the service
 * @param now - current instant
 * @returns the permit, or the reason why there is none
 */
export const admitFurtherSend = (
  send: FurtherSend,
  history: SendHistory,
  serviceBudget: ServiceBudget,
  now: Millis,
): SendDecision => {
  const { fleet, settings, window } = serviceBudget;
  const reason = findDenial(send, history);
  if (reason !== null) return { kind: 'denied', reason, budget: null };
  const { kind: purpose } = send;
  if (history.sends === 0)
    return { kind: 'permitted', permit: issuePermit(purpose, null), budget: null };
  const budget = takeRetry(window, settings, fleet, now, countHeldBack(send, serviceBudget));
  return budget.charge === null
    ? { kind: 'denied', reason: 'budget-spent', budget }
    : { kind: 'permitted', permit: issuePermit(purpose, budget.charge), budget };
};

/**
 * Moves the charge of a permit to the instant at which the request is sent: a daemon may have been
 * paused since it decided, and the budget counts what arrives. A send that needed no retry takes one
 * if another attempt was sent meanwhile. A transfer is sent in any case, since its source has stopped.
 *
 * @param permit - permit of the attempt that is about to be sent
 * @param sends - number of times that the request has been sent
 * @param budget - retry budget of the service
 * @param now - current instant
 * @returns `spent` when the budget does not permit the send any more
 */
export const commitSend = (
  permit: SendPermit,
  sends: number,
  { fleet, settings, window }: ServiceBudget,
  now: Millis,
): 'sent' | 'spent' => {
  const { charge, purpose } = permit;
  if (charge === null) {
    if (sends === 0) return 'sent';
    permit.charge = takeRetry(window, settings, fleet, now).charge;
    return permit.charge === null ? 'spent' : 'sent';
  }
  if (purpose === 'transfer') {
    releaseRetry(charge);
    permit.charge = recordRetry(window, settings, fleet, now);
    return 'sent';
  }
  const outcome = commitRetry(charge, settings, fleet, now);
  if (outcome === 'spent') permit.charge = null;
  return outcome;
};

/**
 * Returns the charge of a permit whose request is not sent.
 *
 * @param permit - permit that is given up; one without a charge is left as it is
 */
export const releaseSend = (permit: SendPermit): void => {
  if (permit.charge !== null) releaseRetry(permit.charge);
  permit.charge = null;
};
