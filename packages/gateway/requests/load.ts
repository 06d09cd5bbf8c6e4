import { COLD_USE, COLD_WINDOW_MS, GROWTH_TOKENS } from './constants.js';
import type { Attempt, Forwarding, RequestsInputs, RequestsState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { estimateTokens } from '../../decisions/forwarding/placeForward.js';
import type { Candidate, EndpointLoad } from '../../decisions/forwarding/placeForward.js';
import type { Service } from '../../decisions/forwarding/types.js';

export const NO_LOAD: EndpointLoad = { requests: 0, tokens: 0, waitingTokens: 0 };

/**
 * Adds two loads.
 *
 * @param left - one load
 * @param right - other load
 * @returns the sum
 */
export const addLoads = (left: EndpointLoad, right: EndpointLoad): EndpointLoad => ({
  requests: left.requests + right.requests,
  tokens: left.tokens + right.tokens,
  waitingTokens: left.waitingTokens + right.waitingTokens,
});

/** Memory that a generation takes now, with what it is about to grow by. */
const computeTokens = ({ eventsShown, request, service }: Forwarding): number => {
  const { demand } = request;
  if (demand === null) return 0;
  const made = eventsShown * (service.engine?.tokensPerEvent ?? 1);
  const atEnd = Math.max(estimateTokens(demand), demand.promptTokens + made);
  return Math.min(atEnd, demand.promptTokens + made + GROWTH_TOKENS);
};

const computeAttemptLoad = (forwarding: Forwarding, attempt: Attempt): EndpointLoad => ({
  requests: 1,
  tokens: computeTokens(forwarding),
  waitingTokens: attempt.events === 0 ? (forwarding.request.demand?.promptTokens ?? 0) : 0,
});

/**
 * Sums the work of this daemon by endpoint, with the copies that endpoints keep for others.
 *
 * @param state - requests in progress
 * @returns the loads
 */
export const sumOwnLoads = (state: RequestsState): ReadonlyMap<EndpointId, EndpointLoad> => {
  const loads = new Map<EndpointId, EndpointLoad>();
  const add = (id: EndpointId, load: EndpointLoad): void => {
    loads.set(id, addLoads(loads.get(id) ?? NO_LOAD, load));
  };
  for (const forwarding of state.table.values()) {
    for (const attempt of forwarding.attempts.values()) {
      const load = computeAttemptLoad(forwarding, attempt);
      add(attempt.endpoint.id, load);
      if (attempt.transfer !== null && attempt.transfer.phase !== 'waiting') {
        add(attempt.transfer.target.id, { ...load, waitingTokens: 0 });
      }
      if (attempt.backup !== null) add(attempt.backup.id, { ...NO_LOAD, tokens: load.tokens });
    }
  }
  return loads;
};

/**
 * Lists the endpoints that run generations which cannot be started again.
 *
 * @param state - requests in progress
 * @returns their ids
 */
export const listStreaming = (state: RequestsState): readonly EndpointId[] => {
  const ids = new Set<EndpointId>();
  for (const { attempts, route } of state.table.values()) {
    if (route.answer !== 'stream' || route.resume === 'resumable') continue;
    for (const { endpoint } of attempts.values()) ids.add(endpoint.id);
  }
  return [...ids];
};

/**
 * Counts the generations that this daemon is to take from endpoints that leave, by endpoint.
 *
 * @param state - requests in progress
 * @returns the numbers
 */
export const countOwnTransfers = (state: RequestsState): ReadonlyMap<EndpointId, number> => {
  const transfers = new Map<EndpointId, number>();
  for (const { attempts } of state.table.values()) {
    for (const { endpoint, transfer } of attempts.values()) {
      if (transfer === null) continue;
      transfers.set(endpoint.id, (transfers.get(endpoint.id) ?? 0) + 1);
    }
  }
  return transfers;
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
  const whole = service.coldPerSecond * inputs.getLive().coldOvershoot * COLD_USE;
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
