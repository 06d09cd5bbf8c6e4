import { COLD_LIMIT_UTILIZATION, COLD_WINDOW_MS, GROWTH_MARGIN_TOKENS } from './constants.js';
import type { Attempt, Forwarding, RequestsInputs, RequestsState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { OUTPUT_TOKEN_WEIGHT } from '../../decisions/forwarding/constants.js';
import { estimateOutput, estimatePeakTokens } from '../../decisions/forwarding/placeForward.js';
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

/** Output tokens that a generation has made. */
const countOutputTokens = ({ eventsDelivered: eventsShown, service }: Forwarding): number =>
  eventsShown * (service.engine?.tokensPerEvent ?? 1);

/** Memory that a generation takes now, with what it is about to grow by. */
const estimateMemoryTokens = (forwarding: Forwarding): number => {
  const { demand } = forwarding.request;
  if (demand === null) return 0;
  const made = countOutputTokens(forwarding);
  const atEnd = Math.max(estimatePeakTokens(demand), demand.promptTokens + made);
  return Math.min(atEnd, demand.promptTokens + made + GROWTH_MARGIN_TOKENS);
};

/**
 * Computes the worth of a generation: tokens of its prompt and, at their weight, of its output.
 *
 * @param forwarding - request
 * @returns the worth
 */
export const computeTransferPriority = (forwarding: Forwarding): number => {
  const { demand } = forwarding.request;
  if (demand === null) return 0;
  const output = Math.max(countOutputTokens(forwarding), estimateOutput(demand));
  return demand.promptTokens + OUTPUT_TOKEN_WEIGHT * output;
};

const computeAttemptLoad = (forwarding: Forwarding, attempt: Attempt): EndpointLoad => ({
  requests: 1,
  tokens: estimateMemoryTokens(forwarding),
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

/** Worth of a generation whose transfer has begun: it goes before all that wait. */
const STARTED_TRANSFER_PRIORITY = 1e9;

/**
 * Lists the endpoints that leave and run generations of this daemon, with the greatest worth of
 * these generations.
 *
 * @param state - requests in progress
 * @param now - current instant; generations whose next try is later do not count
 * @returns the worths by endpoint
 */
export const listOwnTransfers = (
  state: RequestsState,
  now: Millis,
): ReadonlyMap<EndpointId, number> => {
  const transfers = new Map<EndpointId, number>();
  for (const forwarding of state.table.values()) {
    for (const { endpoint, transfer } of forwarding.attempts.values()) {
      if (transfer === null || (transfer.phase === 'waiting' && transfer.dueAt > now)) continue;
      const priority =
        transfer.phase === 'waiting'
          ? computeTransferPriority(forwarding)
          : STARTED_TRANSFER_PRIORITY;
      transfers.set(endpoint.id, Math.max(transfers.get(endpoint.id) ?? 0, priority));
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
export const applyColdLimit = (
  state: RequestsState,
  candidates: readonly Candidate[],
  service: Service,
  inputs: RequestsInputs,
  now: Millis,
): readonly Candidate[] => {
  if (service.coldPerSecond <= 0) {
    return candidates.map((candidate) => ({ ...candidate, coldHeadroom: null }));
  }
  const totalLimit =
    service.coldPerSecond * inputs.getLive().coldOvershoot * COLD_LIMIT_UTILIZATION;
  const ownLimit = Math.max(1, Math.floor(totalLimit / inputs.countDaemons()));
  return candidates.map((candidate) => {
    if (candidate.coldHeadroom === null) return candidate;
    const sends = state.coldSends.get(candidate.record.id) ?? [];
    const recent = sends.filter((at) => now - at < COLD_WINDOW_MS).length;
    return { ...candidate, coldHeadroom: ownLimit - recent };
  });
};

/**
 * Counts a request to a cold endpoint.
 *
 * @param state - newest requests to cold endpoints
 * @param endpoint - endpoint that gets the request
 * @param now - current instant
 */
export const recordColdRequest = (
  state: RequestsState,
  endpoint: EndpointId,
  now: Millis,
): void => {
  const sends = (state.coldSends.get(endpoint) ?? []).filter((at) => now - at < COLD_WINDOW_MS);
  state.coldSends.set(endpoint, [...sends, now]);
};
