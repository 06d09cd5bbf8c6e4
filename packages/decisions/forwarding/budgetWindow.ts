import { BUDGET_BUCKETS, REQUEST_BUCKETS } from './constants.js';
import { createSlackCredit } from './slackCredit.js';
import type { SlackCredit } from './slackCredit.js';
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
export interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
  /** The part of `retries` that was taken from the credit; the rest counts in the window. */
  credited: number;
}

/** Requests and retries of one service in this daemon; only the modules of the budget update it. */
export interface BudgetWindow {
  /** Instant from which this daemon has counted; an earlier life of its process is unknown. */
  countedFrom: Millis;
  /** Length of the window of which the buckets are parts; null before the first one. */
  lengthMs: Millis | null;
  readonly buckets: Bucket[];
  readonly credit: SlackCredit;
}

/**
 * Creates an empty window.
 *
 * @param countedFrom - instant from which all requests and retries of this daemon are counted
 * @returns a window without requests and retries
 */
export const createBudgetWindow = (countedFrom: Millis): BudgetWindow => ({
  countedFrom,
  lengthMs: null,
  buckets: [],
  credit: createSlackCredit(countedFrom),
});

/** Buckets of windows of different lengths cannot be compared, so a change starts the count anew. */
const updateLength = (
  window: BudgetWindow,
  { windowMs }: RetryBudgetSettings,
  now: Millis,
): void => {
  if (window.lengthMs === windowMs) return;
  if (window.lengthMs !== null) {
    window.buckets.length = 0;
    window.countedFrom = now;
    Object.assign(window.credit, createSlackCredit(now));
  }
  window.lengthMs = windowMs;
};

/**
 * Returns the bucket of the current instant, and forgets those that no window contains any more.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param now - current instant
 * @returns the newest bucket
 */
export const findBucket = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  now: Millis,
): Bucket => {
  updateLength(window, settings, now);
  const number = Math.floor((now * BUDGET_BUCKETS) / settings.windowMs);
  while (window.buckets[0] !== undefined && window.buckets[0].number <= number - REQUEST_BUCKETS) {
    window.buckets.shift();
  }
  const last = window.buckets.at(-1);
  if (last?.number === number) return last;
  const bucket = { number, requests: 0, retries: 0, credited: 0 };
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

/**
 * Counts the requests in some buckets.
 *
 * @param window - window of the service
 * @param from - number of the first bucket
 * @param until - number of the bucket after the last one
 * @returns the number of requests
 */
export const sumRequests = ({ buckets }: BudgetWindow, from: number, until: number): number =>
  buckets.reduce(
    (sum, { number, requests }) => (number >= from && number < until ? sum + requests : sum),
    0,
  );

/**
 * Counts the requests that permit the retries of a window: the mean of those in the window and those
 * in the one half a window before it. The budget counts the greater of the two sums over all daemons.
 * One daemon's greater one may not be used, since its callers may move to another daemon.
 *
 * @param window - window of the service
 * @param from - number of the first bucket
 * @returns the number of requests
 */
export const countBasis = (window: BudgetWindow, from: number): number => {
  const half = BUDGET_BUCKETS / 2;
  const inWindow = sumRequests(window, from, from + BUDGET_BUCKETS);
  return (inWindow + sumRequests(window, from - half, from + half)) / 2;
};
