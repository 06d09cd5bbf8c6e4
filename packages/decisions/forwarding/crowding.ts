import { estimateOutput } from './placeAttempt.js';
import type { Candidate, EndpointLoad, PlacementCriteria } from './placeAttempt.js';
import type { GenerationDemand } from './types.js';
import type { Millis } from '../../core/clock.js';

/**
 * Number of the most urgent requests of a service for which the others leave room in each engine. Daemons
 * that do not know of each other's waiting requests keep it for them without a message. A second one may
 * arrive before the first has ended.
 */
const RESERVED_REQUESTS = 2;

/** Largest share of an engine's memory that is kept, so that the others are not starved. */
const MAX_RESERVED_SHARE = 0.25;

/** Weight of a new request in the mean need of the most urgent ones. */
const NEED_WEIGHT = 0.1;

/** A request that waits for room in an engine. */
export interface WaitingRequest {
  /** Rank of its customer, or 0 if it has none; 0 is the most urgent. */
  readonly customerRank: number;
  /** Rank of its route, which decides among customers of one rank. */
  readonly rank: number;
  /** Instant until which its answer has to begin. */
  readonly targetAt: Millis;
  readonly targetMs: Millis;
  /** Share of its customer in the tokens that this daemon has placed lately. */
  readonly customerShare: number;
}

/**
 * Computes the instant by which requests of one rank are ordered. The requests of a customer that has
 * taken much of the room lately come later by up to their target, so that one customer's burst does not
 * delay all others; they still come before those that have waited longer than that.
 */
const computeTurn = ({ customerShare, targetAt, targetMs }: WaitingRequest): Millis =>
  targetAt + customerShare * targetMs;

/**
 * Compares two waiting requests of a service: the one of the more urgent customer first, then the one of
 * the more urgent route, then the one whose target is nearer, with the customers' shares taken into account.
 *
 * @param left - one request
 * @param right - other request
 * @returns a negative number when the left one comes first
 */
export const compareWaiting = (left: WaitingRequest, right: WaitingRequest): number =>
  left.customerRank - right.customerRank ||
  left.rank - right.rank ||
  computeTurn(left) - computeTurn(right);

/**
 * Estimates the memory that an engine needs until a new generation ends there: what is in use, the new
 * prompt and output, and the growth of the others meanwhile. All grow at the same pace, so a short one ends
 * before the others have grown much, and long ones that began together reach their peaks together.
 *
 * @param load - load of the engine
 * @param demand - new generation
 * @returns tokens
 */
export const estimateMemoryNeed = (load: EndpointLoad, demand: GenerationDemand): number => {
  const output = estimateOutput(demand);
  const growth = Math.min(load.growthTokens, load.requests * output);
  return load.tokens + growth + demand.promptTokens + output;
};

/**
 * Updates the mean memory that the most urgent requests of a service need.
 *
 * @param mean - mean so far; null before the first one
 * @param tokens - need of a new one
 * @returns the new mean
 */
export const updateUrgentNeed = (mean: number | null, tokens: number): number =>
  mean === null ? tokens : mean + NEED_WEIGHT * (tokens - mean);

/**
 * Computes the memory of an engine that less urgent requests leave free.
 *
 * @param urgentNeed - mean need of the most urgent requests; null if there are none
 * @param memoryTokens - memory of the engine
 * @returns tokens
 */
export const computeReserve = (urgentNeed: number | null, memoryTokens: number): number =>
  Math.min(RESERVED_REQUESTS * (urgentNeed ?? 0), MAX_RESERVED_SHARE * memoryTokens);

/**
 * Reports whether an engine has room for a request: a slot, and memory until its end without a
 * preemption, besides what is kept for more urgent ones. A generation alone always has room.
 *
 * @param candidate - endpoint
 * @param criteria - requirements of the request
 * @param reserved - tokens that are kept for more urgent requests
 * @returns true when the request can be sent there; always for a plain endpoint
 */
export const hasRoom = (
  { load, record }: Candidate,
  { demand, service }: PlacementCriteria,
  reserved: number,
): boolean => {
  if (service.engine === null || demand === null) return true;
  if (load.requests >= record.slots) return false;
  if (load.requests === 0) return true;
  return estimateMemoryNeed(load, demand) <= service.engine.memoryTokens - reserved;
};
