import { BUDGET_BUCKETS, BUDGET_UTILIZATION, RETRY_BUCKETS } from './constants.js';
import { computeFleetShare } from './fleetShare.js';
import type { FleetKnowledge } from './fleetShare.js';
import type { Millis } from '../../core/clock.js';

/** Limit on the retries of one service, shared by all daemons. */
export interface RetryBudgetSettings {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio, over all daemons. */
  readonly slack: number;
  readonly windowMs: Millis;
}

/** Requests and retries within one part of the sliding window. */
interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
}

/** Requests and retries of one service in this daemon; only this module updates the window. */
export interface BudgetWindow {
  /** Instant from which this daemon has counted; an earlier life of its process is unknown. */
  readonly countedFrom: Millis;
  readonly buckets: Bucket[];
}

/**
 * Creates an empty window.
 *
 * @param countedFrom - instant from which all requests and retries of this daemon are counted
 * @returns a window without requests and retries
 */
export const createBudgetWindow = (countedFrom: Millis): BudgetWindow => ({
  countedFrom,
  buckets: [],
});

const findBucket = (window: BudgetWindow, settings: RetryBudgetSettings, now: Millis): Bucket => {
  const number = Math.floor((now * BUDGET_BUCKETS) / settings.windowMs);
  while (window.buckets[0] !== undefined && window.buckets[0].number <= number - RETRY_BUCKETS) {
    window.buckets.shift();
  }
  const last = window.buckets.at(-1);
  if (last?.number === number) return last;
  const bucket = { number, requests: 0, retries: 0 };
  window.buckets.push(bucket);
  return bucket;
};

/**
 * Counts a request of a caller.
 *
 * @param window - window of its service
 * @param settings - limits of the budget
 * @param now - current instant
 */
export const countRequest = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  now: Millis,
): void => {
  findBucket(window, settings, now).requests += 1;
};

/** Decision on one retry, and what decided it. */
export interface RetryDecision {
  /** `spent` when this daemon's share is used up. */
  readonly outcome: 'taken' | 'spent';
  /** Requests and retries of this daemon in the window that ends now. */
  readonly requests: number;
  readonly retries: number;
}

const computeSlackShare = (
  { countedFrom }: BudgetWindow,
  { slack, windowMs }: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): number => {
  const retentionMs = (windowMs * RETRY_BUCKETS) / BUDGET_BUCKETS;
  return computeFleetShare(slack, retentionMs, now - countedFrom, fleet);
};

/**
 * Consumes one retry of this daemon's share of the budget; a hedge counts as a retry.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @returns the decision
 */
export const takeRetry = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): RetryDecision => {
  const bucket = findBucket(window, settings, now);
  // A request counts for no longer than the window, and a retry for no shorter.
  const requests = window.buckets
    .filter(({ number }) => number > bucket.number - BUDGET_BUCKETS)
    .reduce((sum, { requests: count }) => sum + count, 0);
  const retries = window.buckets.reduce((sum, { retries: count }) => sum + count, 0);
  const slackShare = computeSlackShare(window, settings, fleet, now);
  if (retries + 1 > BUDGET_UTILIZATION * (requests * settings.ratio + slackShare))
    return { outcome: 'spent', requests, retries };
  bucket.retries += 1;
  return { outcome: 'taken', requests, retries };
};
