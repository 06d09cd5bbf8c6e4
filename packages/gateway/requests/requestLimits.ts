import {
  COLD_LIMIT_UTILIZATION,
  COLD_WINDOW_MS,
  MAX_SENT_TIMES_ENDPOINTS,
  MIN_COLD_USERS,
} from './constants.js';
import type { RequestsInputs, RequestsState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { MAX_LIMIT_WINDOW_MS } from '../../decisions/forwarding/constants.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import {
  computeLimitHeadroom,
  computeLimitWindow,
} from '../../decisions/forwarding/requestLimit.js';
import { hasWish, openRestGate } from '../../decisions/forwarding/rest.js';
import type { WillingEndpoints } from '../../decisions/forwarding/rest.js';
import type { Service } from '../../decisions/forwarding/types.js';

/**
 * Records a request to an endpoint, which counts against the limits of the endpoint.
 *
 * @param state - latest requests to the endpoints
 * @param endpoint - endpoint that receives the request
 * @param now - current instant
 */
export const recordSent = (
  { sentTimes }: RequestsState,
  endpoint: EndpointId,
  now: Millis,
): void => {
  const times = (sentTimes.get(endpoint) ?? []).filter((at) => now - at < MAX_LIMIT_WINDOW_MS);
  sentTimes.delete(endpoint);
  sentTimes.set(endpoint, [...times, now]);
  const [oldest] = sentTimes.keys();
  if (sentTimes.size > MAX_SENT_TIMES_ENDPOINTS && oldest !== undefined) sentTimes.delete(oldest);
};

/**
 * Counts the latest requests of this daemon to an endpoint.
 *
 * @param state - latest requests to the endpoints
 * @param endpoint - endpoint
 * @param windowMs - length of the window that ends now
 * @param now - current instant
 * @returns number of requests
 */
export const countSent = (
  { sentTimes }: RequestsState,
  endpoint: EndpointId,
  windowMs: Millis,
  now: Millis,
): number => (sentTimes.get(endpoint) ?? []).filter((at) => now - at < windowMs).length;

/** Inputs of the limits of one daemon. */
export type LimitInputs = Pick<
  RequestsInputs,
  'countDaemons' | 'getFleet' | 'getLiveSettings' | 'isUserOf'
>;

/**
 * Computes how many requests this daemon may still send to a cold endpoint. The limit applies to
 * all daemons together, so each of its users has an equal part of it. In a fleet with more daemons
 * than the limit has requests, some of them use the endpoint.
 */
const computeColdHeadroom = (
  state: RequestsState,
  { coldHeadroom, record }: Candidate,
  service: Service,
  inputs: LimitInputs,
  now: Millis,
): number | null => {
  if (coldHeadroom === null || service.coldPerSecond <= 0) return null;
  const totalLimit =
    service.coldPerSecond * inputs.getLiveSettings().coldOvershoot * COLD_LIMIT_UTILIZATION;
  const { contact, daemons } = inputs.getFleet();
  const users = Math.min(daemons, Math.max(MIN_COLD_USERS, Math.floor(totalLimit)));
  if (users < daemons && !inputs.isUserOf(record.id, users)) return 0;
  const ownLimit = contact === 'unknown' ? 1 : Math.max(1, Math.floor(totalLimit / users));
  return ownLimit - countSent(state, record.id, COLD_WINDOW_MS, now);
};

const checkWilling = (candidates: readonly Candidate[], now: Millis): WillingEndpoints => {
  const ready = candidates.filter(({ record }) => record.phase === 'ready');
  const willing = ready.filter(({ rest }) => !hasWish(rest, now));
  return willing.length * 2 >= ready.length ? 'enough' : 'too-few';
};

/**
 * Computes how many requests this daemon may still send to each endpoint that is cold, states a limit
 * or has asked for rest.
 *
 * @param state - latest requests to the endpoints
 * @param candidates - endpoints; `coldHeadroom` is not null for cold ones
 * @param service - service with the limit of cold endpoints
 * @param inputs - number of daemons, and factor of the limit
 * @param now - current instant
 * @returns the candidates with their headroom
 */
export const applyRequestLimits = (
  state: RequestsState,
  candidates: readonly Candidate[],
  service: Service,
  inputs: LimitInputs,
  now: Millis,
): readonly Candidate[] => {
  const willing = checkWilling(candidates, now);
  return candidates.map((candidate) => {
    const { limit, record } = candidate;
    const coldHeadroom = computeColdHeadroom(state, candidate, service, inputs, now);
    const sentTimes = state.sentTimes.get(record.id) ?? [];
    const restGate = openRestGate(candidate.rest, willing, sentTimes, now);
    if (limit === null) return { ...candidate, coldHeadroom, limitHeadroom: null, restGate };
    const windowMs = computeLimitWindow(limit.requestsPerSecond);
    const ownRequests = countSent(state, record.id, windowMs, now);
    const limitHeadroom = computeLimitHeadroom(limit, ownRequests, inputs.countDaemons());
    return { ...candidate, coldHeadroom, limitHeadroom, restGate };
  });
};
