import { MAX_LIMIT_WINDOW_MS, MIN_LIMIT_WINDOW_MS } from './constants.js';
import type { Millis } from '../../core/clock.js';

const MILLIS_PER_SECOND = 1_000;

/** Request limit that an endpoint states, and how far the other daemons have used it. */
export interface RequestLimit {
  /** Requests per second that the endpoint accepts from all daemons together. */
  readonly requestsPerSecond: number;
  /** Requests that the other daemons reported for the window of the limit. */
  readonly peerRequests: number;
  /** Daemons that have not reported for a while; each may be using an equal share of the limit. */
  readonly silentDaemons: number;
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
  { peerRequests, requestsPerSecond, silentDaemons }: RequestLimit,
  ownRequests: number,
  daemons: number,
): number => {
  const allowed = Math.floor(
    (requestsPerSecond * computeLimitWindow(requestsPerSecond)) / MILLIS_PER_SECOND,
  );
  const silentRequests = Math.ceil((allowed * silentDaemons) / Math.max(1, daemons));
  return allowed - ownRequests - peerRequests - silentRequests;
};
