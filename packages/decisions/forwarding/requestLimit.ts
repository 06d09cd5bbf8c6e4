import {
  LIMIT_RACE_FACTOR,
  LIMIT_RACE_REQUESTS,
  MAX_LIMIT_WINDOW_MS,
  MIN_LIMIT_USERS,
  MIN_LIMIT_WINDOW_MS,
} from './constants.js';
import type { Millis } from '../../core/clock.js';

const MILLIS_PER_SECOND = 1_000;

/** Whether a daemon is one of those that may use an endpoint with a stated limit. */
export type LimitRole = 'user' | 'other';

/** Request limit that an endpoint states, and how far the other daemons have used it. */
export interface RequestLimit {
  /** Requests per second that the endpoint accepts from all daemons together. */
  readonly requestsPerSecond: number;
  /** Requests that the other daemons reported for the window of the limit. */
  readonly peerRequests: number;
  /** Daemons that have not reported for a while; each may be using an equal share of the limit. */
  readonly silentDaemons: number;
  /** Whether this daemon may use the endpoint. */
  readonly role: LimitRole;
}

/**
 * Computes the sliding window in which requests to an endpoint are counted. It is long enough for
 * one request, so that the lowest limits leave room for some.
 *
 * @param requestsPerSecond - stated limit
 * @returns the length of the window
 */
export const computeLimitWindow = (requestsPerSecond: number): Millis =>
  Math.min(
    MAX_LIMIT_WINDOW_MS,
    Math.max(MIN_LIMIT_WINDOW_MS, MILLIS_PER_SECOND / requestsPerSecond),
  );

const countAllowed = (requestsPerSecond: number): number =>
  Math.floor((requestsPerSecond * computeLimitWindow(requestsPerSecond)) / MILLIS_PER_SECOND);

/**
 * Computes how many daemons may use an endpoint with a stated limit. Daemons count each other's
 * requests with a delay, so a burst at more daemons than the limit has requests would exceed it.
 *
 * @param requestsPerSecond - stated limit
 * @param daemons - number of daemons, including this one
 * @returns the number of daemons that may use the endpoint
 */
export const countLimitUsers = (requestsPerSecond: number, daemons: number): number =>
  Math.min(daemons, Math.max(MIN_LIMIT_USERS, Math.floor(countAllowed(requestsPerSecond) / 2)));

/** Requests that one daemon may send in the window even if no other daemon sends any. */
const computeOwnMaximum = (allowed: number, users: number): number =>
  Math.max(1, Math.floor((allowed * LIMIT_RACE_FACTOR + LIMIT_RACE_REQUESTS) / users));

/**
 * Computes how many requests this daemon may still send to an endpoint now without exceeding the
 * limit that the endpoint states.
 *
 * @param limit - stated limit and its use by the other daemons
 * @param ownRequests - requests of this daemon within the window of the limit
 * @param daemons - number of daemons, including this one
 * @returns the number of requests, 0 or less when none may be sent
 */
export const computeLimitHeadroom = (
  { peerRequests, requestsPerSecond, role, silentDaemons }: RequestLimit,
  ownRequests: number,
  daemons: number,
): number => {
  if (role === 'other') return 0;
  const allowed = countAllowed(requestsPerSecond);
  const ownMaximum = computeOwnMaximum(allowed, countLimitUsers(requestsPerSecond, daemons));
  const silentRequests = Math.ceil((allowed * silentDaemons) / Math.max(1, daemons));
  const left = allowed - ownRequests - peerRequests - silentRequests;
  return Math.min(left, ownMaximum - ownRequests);
};
