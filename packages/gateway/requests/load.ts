import { GROWTH_MARGIN_TOKENS } from './constants.js';
import type { Attempt, Forwarding, RequestsState } from './types.js';
import type { LoadRow } from '../peers/types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { OUTPUT_TOKEN_WEIGHT } from '../../decisions/forwarding/constants.js';
import { estimateOutput, estimatePeakTokens } from '../../decisions/forwarding/placeAttempt.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';

export const NO_LOAD: EndpointLoad = {
  requests: 0,
  tokens: 0,
  waitingTokens: 0,
  growthTokens: 0,
};

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
  growthTokens: left.growthTokens + right.growthTokens,
});

/** Counts the output tokens that a generation has delivered so far. */
const countOutputTokens = ({ eventsDelivered, service }: Forwarding): number =>
  eventsDelivered * (service.engine?.tokensPerEvent ?? 1);

/** Estimates the engine memory that a generation uses now, with a margin for its growth. */
const estimateMemoryTokens = (forwarding: Forwarding): number => {
  const { demand } = forwarding.request;
  if (demand === null) return 0;
  const outputTokens = countOutputTokens(forwarding);
  const peak = Math.max(estimatePeakTokens(demand), demand.promptTokens + outputTokens);
  return Math.min(peak, demand.promptTokens + outputTokens + GROWTH_MARGIN_TOKENS);
};

/**
 * Computes the transfer priority of a generation: its prompt tokens, plus its output tokens with
 * the weight `OUTPUT_TOKEN_WEIGHT`.
 *
 * @param forwarding - request
 * @returns the priority; the generation with the highest one is transferred first
 */
export const computeTransferPriority = (forwarding: Forwarding): number => {
  const { demand } = forwarding.request;
  if (demand === null) return 0;
  const output = Math.max(countOutputTokens(forwarding), estimateOutput(demand));
  return demand.promptTokens + OUTPUT_TOKEN_WEIGHT * output;
};

const computeAttemptLoad = (forwarding: Forwarding, attempt: Attempt): EndpointLoad => {
  const { demand } = forwarding.request;
  const tokens = estimateMemoryTokens(forwarding);
  return {
    requests: 1,
    tokens,
    waitingTokens: attempt.events === 0 ? (demand?.promptTokens ?? 0) : 0,
    growthTokens: demand === null ? 0 : Math.max(0, estimatePeakTokens(demand) - tokens),
  };
};

/**
 * Sums the load of this daemon's requests on each endpoint, including transfers to it and the
 * backups that it holds.
 *
 * @param state - requests in flight
 * @returns the loads by endpoint
 */
export const sumOwnLoads = (state: RequestsState): ReadonlyMap<EndpointId, EndpointLoad> => {
  const loads = new Map<EndpointId, EndpointLoad>();
  const add = (id: EndpointId, load: EndpointLoad): void => {
    loads.set(id, addLoads(loads.get(id) ?? NO_LOAD, load));
  };
  for (const forwarding of state.inFlight.values()) {
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
 * Lists the endpoints that run streams which cannot be restarted at another endpoint.
 *
 * @param state - requests in flight
 * @returns the endpoint ids
 */
export const listSingleRunEndpoints = (state: RequestsState): readonly EndpointId[] => {
  const ids = new Set<EndpointId>();
  for (const { attempts, route } of state.inFlight.values()) {
    if (route.answer !== 'stream' || route.resume === 'resumable') continue;
    for (const { endpoint } of attempts.values()) ids.add(endpoint.id);
  }
  return [...ids];
};

/** Priority of a generation whose transfer has started; it is above that of all waiting ones. */
const STARTED_TRANSFER_PRIORITY = 1e9;

/**
 * Lists the leaving endpoints from which this daemon transfers generations, with the highest
 * transfer priority of these generations.
 *
 * @param state - requests in flight
 * @param now - current instant; generations whose next try is due later do not count
 * @returns the priorities by endpoint
 */
export const listOwnTransfers = (
  state: RequestsState,
  now: Millis,
): ReadonlyMap<EndpointId, number> => {
  const transfers = new Map<EndpointId, number>();
  for (const forwarding of state.inFlight.values()) {
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
 * Converts a load to a row of a report.
 *
 * @param endpoint - endpoint
 * @param load - load on it
 * @returns the row
 */
export const toLoadRow = (
  endpoint: EndpointId,
  { growthTokens, requests, tokens, waitingTokens }: EndpointLoad,
): LoadRow => [endpoint, requests, tokens, waitingTokens, growthTokens];

/**
 * Lists the load of this daemon's requests on each endpoint as its reports have it.
 *
 * @param state - requests in flight
 * @returns one row for each endpoint
 */
export const listOwnLoad = (state: RequestsState): readonly LoadRow[] =>
  [...sumOwnLoads(state)].map(([endpoint, load]) => toLoadRow(endpoint, load));
