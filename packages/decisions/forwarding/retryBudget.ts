import { BUDGET_BUCKETS, BUDGET_UTILIZATION, REQUEST_BUCKETS, RETRY_BUCKETS } from './constants.js';
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
export interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
}

/** Requests and retries of one service in this daemon; only this module updates the window. */
export interface BudgetWindow {
  /** Instant from which this daemon has counted; an earlier life of its process is unknown. */
  countedFrom: Millis;
  /** Length of the window of which the buckets are parts; null before the first one. */
  lengthMs: Millis | null;
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
  lengthMs: null,
  buckets: [],
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
  }
  window.lengthMs = windowMs;
};

const findBucket = (window: BudgetWindow, settings: RetryBudgetSettings, now: Millis): Bucket => {
  updateLength(window, settings, now);
  const number = Math.floor((now * BUDGET_BUCKETS) / settings.windowMs);
  while (window.buckets[0] !== undefined && window.buckets[0].number <= number - REQUEST_BUCKETS) {
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

/** A retry that counts in a window; only this module updates it. */
export interface RetryCharge {
  readonly claim: RetryClaim;
  bucket: Bucket;
}

/** Decision on one retry, and what decided it. */
export interface RetryDecision {
  /** The retry that was taken; null when this daemon's share is spent. */
  readonly charge: RetryCharge | null;
  /** Requests and retries of this daemon in the window that ends now. */
  readonly requests: number;
  readonly retries: number;
}

const sumRequests = ({ buckets }: BudgetWindow, from: number, until: number): number =>
  buckets.reduce(
    (sum, { number, requests }) => (number >= from && number < until ? sum + requests : sum),
    0,
  );

/**
 * Counts the requests that permit the retries of a window: the mean of those in the window and those
 * in the one half a window before it. The budget counts the greater of the two sums over all daemons.
 * One daemon's greater one may not be used, since its callers may move to another daemon.
 */
const countBasis = (window: BudgetWindow, from: number): number => {
  const half = BUDGET_BUCKETS / 2;
  const inWindow = sumRequests(window, from, from + BUDGET_BUCKETS);
  return (inWindow + sumRequests(window, from - half, from + half)) / 2;
};

/**
 * What a retry is for. `same-run` continues a run that this life of the process began, which is lost
 * without it, so it may use the slack in proportion to the time that has been counted.
 */
export type RetryClaim = 'another-run' | 'same-run';

const computeSlackShare = (
  { countedFrom }: BudgetWindow,
  { slack, windowMs }: RetryBudgetSettings,
  claim: RetryClaim,
  fleet: FleetKnowledge,
  now: Millis,
): number => {
  const retentionMs = (windowMs * RETRY_BUCKETS) / BUDGET_BUCKETS;
  const countedMs = now - countedFrom;
  if (claim === 'another-run') return computeFleetShare(slack, retentionMs, countedMs, fleet);
  const countedShare = Math.min(1, countedMs / retentionMs);
  return countedShare * computeFleetShare(slack, retentionMs, retentionMs, fleet);
};

/**
 * Consumes one retry of this daemon's share of the budget; a hedge counts as a retry. Each window that
 * contains this instant is checked, whenever it began. So the sum over all daemons, and over the lives
 * of a process, stays within the budget in each window.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param claim - what the retry is for
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @returns the decision
 */
export const takeRetry = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  claim: RetryClaim,
  fleet: FleetKnowledge,
  now: Millis,
): RetryDecision => {
  const current = findBucket(window, settings, now);
  const slackShare = computeSlackShare(window, settings, claim, fleet, now);
  const firstOfWindow = current.number - BUDGET_BUCKETS + 1;
  let retries = 0;
  let isSpent = false;
  for (let from = current.number; from > current.number - RETRY_BUCKETS; from -= 1) {
    retries += window.buckets.find(({ number }) => number === from)?.retries ?? 0;
    // A request counts for no longer than the window, and a retry for no shorter.
    const basis = countBasis(window, Math.max(from, firstOfWindow));
    const allowed = basis * settings.ratio + slackShare;
    if (retries + 1 > BUDGET_UTILIZATION * allowed) isSpent = true;
  }
  if (!isSpent) current.retries += 1;
  const requests = sumRequests(window, firstOfWindow, current.number + 1);
  return { charge: isSpent ? null : { claim, bucket: current }, requests, retries };
};

/**
 * Counts a retry of a run whatever the budget permits.
 *
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param now - current instant
 * @returns the charge
 */
export const recordRetry = (
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  now: Millis,
): RetryCharge => {
  const bucket = findBucket(window, settings, now);
  bucket.retries += 1;
  return { claim: 'same-run', bucket };
};

/**
 * Returns a retry to the budget.
 *
 * @param charge - retry that is not made
 */
export const releaseRetry = ({ bucket }: RetryCharge): void => {
  bucket.retries -= 1;
};

/**
 * Moves a retry to the current instant, and checks it against the budget again if time has passed.
 *
 * @param charge - retry that was taken earlier
 * @param window - window of the service
 * @param settings - limits of the budget
 * @param fleet - what this daemon knows of the daemons that share the slack
 * @param now - current instant
 * @returns `spent`, and the retry does not count, when the budget does not permit it any more
 */
export const commitRetry = (
  charge: RetryCharge,
  window: BudgetWindow,
  settings: RetryBudgetSettings,
  fleet: FleetKnowledge,
  now: Millis,
): 'sent' | 'spent' => {
  if (charge.bucket === findBucket(window, settings, now)) return 'sent';
  releaseRetry(charge);
  const { charge: moved } = takeRetry(window, settings, charge.claim, fleet, now);
  if (moved === null) return 'spent';
  charge.bucket = moved.bucket;
  return 'sent';
};
