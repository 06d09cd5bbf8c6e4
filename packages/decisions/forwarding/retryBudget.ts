import {
  ACCRUED_SLACK_SHARE,
  BUDGET_BUCKETS,
  BUDGET_UTILIZATION,
  CREDIT_LIMIT_SHARE,
  RETRY_BUCKETS,
} from './constants.js';
import { computeFleetShare } from './fleetShare.js';
import type { FleetKnowledge } from './fleetShare.js';
import { countBasis, findBucket, sumRequests } from './budgetWindow.js';
import type { Bucket, RetryBudgetSettings, BudgetWindow } from './budgetWindow.js';
import { updateCredit } from './slackCredit.js';
import type { Millis } from '../../core/clock.js';

/** A retry that counts in a window; only this module updates it. */
export interface RetryCharge {
  readonly window: BudgetWindow;
  bucket: Bucket;
  /** The part of it that was taken from the credit. */
  credited: number;
}

/** Decision on one retry, and what decided it. */
export interface RetryDecision {
  /** The retry that was taken; null when this daemon's share is spent. */
  readonly charge: RetryCharge | null;
  /** Requests and retries of this daemon in the window that ends now. */
  readonly requests: number;
  readonly retries: number;
}

/** Time for which a retry counts. */
const computeRetentionMs = ({ windowMs }: RetryBudgetSettings): Millis =>
  (windowMs * RETRY_BUCKETS) / BUDGET_BUCKETS;

/** Part of the slack that a daemon may use at any time of a window, once it has counted for one. */
const computeWindowSlack = (
  { countedFrom }: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): number => {
  const slack = settings.slack * (1 - ACCRUED_SLACK_SHARE - CREDIT_LIMIT_SHARE);
  return computeFleetShare(slack, computeRetentionMs(settings), now - countedFrom, fleet);
};

/** Retries of the window, and what the current one lacks. */
interface WindowUse {
  readonly retries: number;
  /** What one more retry lacks in the window with the least room; negative if there is room for more. */
  readonly deficit: number;
}

/** Checks each window that contains this instant, whenever it began. */
const checkWindows = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  slack: number,
  current: number,
): WindowUse => {
  const firstOfWindow = current - BUDGET_BUCKETS + 1;
  let retries = 0;
  let charged = 0;
  let deficit = -Infinity;
  for (let from = current; from > current - RETRY_BUCKETS; from -= 1) {
    const bucket = window.buckets.find(({ number }) => number === from);
    retries += bucket?.retries ?? 0;
    charged += (bucket?.retries ?? 0) - (bucket?.credited ?? 0);
    // A request counts for no longer than the window, and a retry for no shorter.
    const basis = countBasis(window, Math.max(from, firstOfWindow));
    const allowed = BUDGET_UTILIZATION * (basis * settings.ratio + slack);
    deficit = Math.max(deficit, charged + 1 - allowed);
  }
  return { retries, deficit };
};

/** Accrues the credit and checks the windows for one more retry. */
const checkBudget = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): WindowUse => {
  const { number } = findBucket(window, settings, now);
  const retentionMs = computeRetentionMs(settings);
  const share = computeFleetShare(settings.slack, retentionMs, retentionMs, fleet);
  updateCredit(window.credit, BUDGET_UTILIZATION * share, retentionMs, now);
  const slack = computeWindowSlack(window, settings, fleet, now);
  return checkWindows(window, settings, slack, number);
};

/** Computes what the credit has to pay for some retries, each of which costs one of it at most. */
const computeCost = (deficit: number, count: number): number =>
  Math.min(count, Math.max(0, deficit + count - 1));

/** Counts a retry now; the credit pays what the windows do not permit, as far as it can. */
const addCharge = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  deficit: number,
  now: Millis,
): RetryCharge => {
  const bucket = findBucket(window, settings, now);
  const credited = Math.min(computeCost(deficit, 1), window.credit.retries);
  window.credit.retries -= credited;
  bucket.retries += 1;
  bucket.credited += credited;
  return { window, bucket, credited };
};

/**
 * Consumes one retry of this daemon's share of the budget; a hedge counts as a retry. A life that is
 * younger than a window uses the requests that it has counted and the credit that it has saved. What
 * the windows do not permit is taken from the credit. So the sum over all daemons, and over the lives
 * of a process, stays within the budget in each window.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @param heldBack - retries that have to remain after it
 * @returns the decision
 */
export const takeRetry = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
  heldBack = 0,
): RetryDecision => {
  const { deficit, retries } = checkBudget(window, settings, fleet, now);
  const { number } = findBucket(window, settings, now);
  const requests = sumRequests(window, number - BUDGET_BUCKETS + 1, number + 1);
  const isSpent = computeCost(deficit, 1 + heldBack) > window.credit.retries;
  const charge = isSpent ? null : addCharge(window, settings, deficit, now);
  return { charge, requests, retries };
};

/**
 * Counts a retry of a run whatever the budget permits.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @returns the charge
 */
export const recordRetry = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): RetryCharge =>
  addCharge(window, settings, checkBudget(window, settings, fleet, now).deficit, now);

/**
 * Returns a retry to the budget. Credit that was taken in an earlier bucket is not returned: it has
 * accrued again since, and would be used twice in a window.
 *
 * @param charge - retry that is not made
 */
export const releaseRetry = ({ bucket, credited, window }: RetryCharge): void => {
  bucket.retries -= 1;
  bucket.credited -= credited;
  if (bucket === window.buckets.at(-1)) window.credit.retries += credited;
};

/**
 * Moves a retry to the current instant, and checks it against the budget again if time has passed.
 *
 * @param charge - retry that was taken earlier
 * @param settings - limits of the budget
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @returns `spent`, and the retry does not count, when the budget does not permit it any more
 */
export const commitRetry = (
  charge: RetryCharge,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): 'sent' | 'spent' => {
  if (charge.bucket === findBucket(charge.window, settings, now)) return 'sent';
  releaseRetry(charge);
  const { charge: moved } = takeRetry(charge.window, settings, fleet, now);
  if (moved === null) return 'spent';
  charge.bucket = moved.bucket;
  charge.credited = moved.credited;
  return 'sent';
};
