import type { Attempt, EndpointIncarnation, Fingerprint, SuspicionState } from './types.js';
import type { EndpointId, RequestId } from '../../core/ids.js';

/**
 * Formats the identity of an endpoint incarnation.
 *
 * @param endpointIncarnation - endpoint and incarnation
 * @returns `endpoint@incarnation`, a key for tables
 */
export const formatEndpointIncarnation = ({ endpoint, incarnation }: EndpointIncarnation): string =>
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
 * Adds an attempt to the tables. It replaces the request's earlier attempt, since a request has one
 * attempt at a time.
 *
 * @param state - tables to update
 * @param attempt - attempt that starts
 */
export const addAttempt = (state: SuspicionState, attempt: Attempt): void => {
  removeAttempt(state, attempt.requestId);
  state.attempts.set(attempt.requestId, attempt);
  addTo(state.byFingerprint, attempt.fingerprint, attempt.requestId);
  addTo(state.byEndpoint, formatEndpointIncarnation(attempt), attempt.requestId);
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
  state.answered.delete(requestId);
  removeFrom(state.byFingerprint, attempt.fingerprint, requestId);
  removeFrom(state.byEndpoint, formatEndpointIncarnation(attempt), requestId);
  return attempt;
};

/**
 * Lists the attempts in flight at one endpoint incarnation.
 *
 * @param state - tables to read
 * @param endpointIncarnation - endpoint and incarnation
 * @returns the attempts
 */
export const listAttemptsAt = (
  state: SuspicionState,
  endpointIncarnation: EndpointIncarnation,
): readonly Attempt[] =>
  [...(state.byEndpoint.get(formatEndpointIncarnation(endpointIncarnation)) ?? [])]
    .map((requestId) => state.attempts.get(requestId))
    .filter((attempt) => attempt !== undefined);

/**
 * Lists the endpoints at which a fingerprint is in flight.
 *
 * @param state - tables to read
 * @param fingerprint - hash of the requests' content
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
