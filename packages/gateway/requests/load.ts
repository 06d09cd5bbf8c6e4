import { COLD_USE, COLD_WINDOW_MS } from './constants.js';
import type { Attempt, RequestsInputs, RequestsState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { Candidate, EndpointLoad } from '../../decisions/forwarding/placeForward.js';
import type { Service } from '../../decisions/forwarding/types.js';

const changeLoad = (
  state: RequestsState,
  endpoint: EndpointId,
  requests: number,
  tokens: number,
): void => {
  const known = state.load.get(endpoint) ?? { requests: 0, tokens: 0 };
  const next: EndpointLoad = {
    requests: known.requests + requests,
    tokens: known.tokens + tokens,
  };
  if (next.requests <= 0 && next.tokens <= 0) state.load.delete(endpoint);
  else state.load.set(endpoint, next);
};

/**
 * Adds the work of an attempt to its endpoint and to that of its copy.
 *
 * @param state - table of the load
 * @param attempt - attempt that begins
 */
export const addLoad = (state: RequestsState, attempt: Attempt): void => {
  changeLoad(state, attempt.endpoint.id, 1, attempt.tokens);
  if (attempt.backup !== null) changeLoad(state, attempt.backup.id, 0, attempt.tokens);
};

/**
 * Takes the work of an attempt off again.
 *
 * @param state - table of the load
 * @param attempt - attempt that ended
 */
export const releaseLoad = (state: RequestsState, attempt: Attempt): void => {
  changeLoad(state, attempt.endpoint.id, -1, -attempt.tokens);
  if (attempt.backup !== null) changeLoad(state, attempt.backup.id, 0, -attempt.tokens);
};

/**
 * Adds the cold bound of this daemon to the candidates. The bound holds over all daemons, so each
 * takes an equal part of it.
 *
 * @param state - newest requests to cold endpoints
 * @param candidates - endpoints; `coldRoom` is not null for cold ones
 * @param service - service with the bound
 * @param inputs - number of daemons and factor of the bound
 * @param now - current instant
 * @returns the candidates with their room
 */
export const limitCold = (
  state: RequestsState,
  candidates: readonly Candidate[],
  service: Service,
  inputs: RequestsInputs,
  now: Millis,
): readonly Candidate[] => {
  if (service.coldPerSecond <= 0) {
    return candidates.map((candidate) => ({ ...candidate, coldRoom: null }));
  }
  const whole = service.coldPerSecond * inputs.coldOvershoot * COLD_USE;
  const part = Math.max(1, Math.floor(whole / inputs.countDaemons()));
  return candidates.map((candidate) => {
    if (candidate.coldRoom === null) return candidate;
    const sends = state.coldSends.get(candidate.record.id) ?? [];
    const recent = sends.filter((at) => now - at < COLD_WINDOW_MS).length;
    return { ...candidate, coldRoom: part - recent };
  });
};

/**
 * Counts a request to a cold endpoint.
 *
 * @param state - newest requests to cold endpoints
 * @param endpoint - endpoint that gets the request
 * @param now - current instant
 */
export const countColdSend = (state: RequestsState, endpoint: EndpointId, now: Millis): void => {
  const sends = (state.coldSends.get(endpoint) ?? []).filter((at) => now - at < COLD_WINDOW_MS);
  state.coldSends.set(endpoint, [...sends, now]);
};
