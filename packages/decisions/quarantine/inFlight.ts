import type { Attempt, EndpointStart, Fingerprint, SuspicionState } from './types.js';
import type { EndpointId, RequestId } from '../../core/ids.js';

/**
 * Formats the identity of one endpoint start.
 *
 * @param start - endpoint and incarnation
 * @returns a key for tables
 */
export const formatStart = ({ endpoint, incarnation }: EndpointStart): string =>
  `${endpoint}@${incarnation}`;

const addTo = (table: Map<string, Set<RequestId>>, key: string, requestId: RequestId): void => {
  const requests = table.get(key);
  if (requests === undefined) table.set(key, new Set([requestId]));
  else requests.add(requestId);
};

const removeFrom = (
  table: Map<string, Set<RequestId>>,
  key: string,
  requestId: RequestId,
): void => {
  const requests = table.get(key);
  requests?.delete(requestId);
  if (requests?.size === 0) table.delete(key);
};

/**
 * Records an attempt as in flight; a request has one attempt at a time.
 *
 * @param state - tables to update
 * @param attempt - the attempt that starts
 */
export const addAttempt = (state: SuspicionState, attempt: Attempt): void => {
  removeAttempt(state, attempt.requestId);
  state.attempts.set(attempt.requestId, attempt);
  addTo(state.byFingerprint, attempt.fingerprint, attempt.requestId);
  addTo(state.byEndpoint, formatStart(attempt), attempt.requestId);
};

/**
 * Removes a request's attempt.
 *
 * @param state - tables to update
 * @param requestId - request whose attempt ended
 * @returns the attempt, or undefined when none was in flight
 */
export const removeAttempt = (state: SuspicionState, requestId: RequestId): Attempt | undefined => {
  const attempt = state.attempts.get(requestId);
  if (attempt === undefined) return undefined;
  state.attempts.delete(requestId);
  removeFrom(state.byFingerprint, attempt.fingerprint, requestId);
  removeFrom(state.byEndpoint, formatStart(attempt), requestId);
  return attempt;
};

/**
 * Lists the attempts in flight at one endpoint start.
 *
 * @param state - tables
 * @param start - endpoint and incarnation
 * @returns the attempts
 */
export const listAttemptsAt = (state: SuspicionState, start: EndpointStart): readonly Attempt[] =>
  [...(state.byEndpoint.get(formatStart(start)) ?? [])]
    .map((requestId) => state.attempts.get(requestId))
    .filter((attempt) => attempt !== undefined);

/**
 * Lists the endpoints on which a fingerprint runs.
 *
 * @param state - tables
 * @param fingerprint - content of the requests
 * @returns each endpoint once
 */
export const listEndpointsOf = (
  state: SuspicionState,
  fingerprint: Fingerprint,
): readonly EndpointId[] => {
  const requests = state.byFingerprint.get(fingerprint) ?? [];
  const endpoints = [...requests].map((requestId) => state.attempts.get(requestId)?.endpoint);
  return [...new Set(endpoints.filter((endpoint) => endpoint !== undefined))];
};
