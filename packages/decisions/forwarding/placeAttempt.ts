import { DEFAULT_OUTPUT_TOKENS } from './constants.js';
import { computeFailureRate } from './endpointHealth.js';
import type { EndpointHealth } from './endpointHealth.js';
import type { RequestLimit } from './requestLimit.js';
import type { RestGate, StatedRest } from './rest.js';
import type { StatedLoad } from './statements.js';
import type { EndpointRecord, GenerationDemand, Service } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';

/** Load on one endpoint: that of this daemon and that last reported by its peers. */
export interface EndpointLoad {
  readonly requests: number;
  /** Engine memory of running generations and of backups for other endpoints, in tokens. */
  readonly tokens: number;
  /** Tokens of prompts that wait to be processed and delay a new one. */
  readonly waitingTokens: number;
  /** Tokens by which the running generations are expected to grow beyond `tokens`. */
  readonly growthTokens: number;
}

/** An endpoint with the health and load on which its placement depends. */
export interface Candidate {
  readonly record: EndpointRecord;
  readonly health: EndpointHealth;
  readonly load: EndpointLoad;
  /** Null without a statement of this incarnation of the endpoint. */
  readonly statedLoad: StatedLoad | null;
  /** Requests that this daemon may still send to a cold endpoint now; null when it is warm. */
  readonly coldHeadroom: number | null;
  /** Limit that the endpoint states; null without one. */
  readonly limit: RequestLimit | null;
  /** Requests that this daemon may still send within the stated limit; null without one. */
  readonly limitHeadroom: number | null;
  /** Rest for which it asked this daemon; null without one. */
  readonly rest: StatedRest | null;
  /** Requests that this daemon may still send to an endpoint that rests or returns; null otherwise. */
  readonly restGate: RestGate | null;
}

/** Requirements and history of the request to be placed. */
export interface PlacementCriteria {
  readonly service: Service;
  readonly demand: GenerationDemand | null;
  /** Latency target of the answer. */
  readonly targetMs: Millis;
  /** Data centre of this daemon, which knows the loads there best. */
  readonly homeDataCentre: DataCentreId;
  /** Endpoints to which this request has already been sent. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly now: Millis;
}

/**
 * Largest random increase of an endpoint's score, as a share of it, so that daemons with the same
 * view do not all choose the same endpoint.
 */
const SCORE_JITTER = 0.1;

/**
 * The same for an endpoint in another data centre, whose load arrives later, so that more daemons
 * choose one at a time.
 */
const REMOTE_SCORE_JITTER = 0.3;

/**
 * Cost of an engine in another data centre, in shares of its memory or slots. Traffic between data
 * centres is expensive, and loads there are known later.
 */
const REMOTE_ENGINE_COST = 0.3;

/** Factor of the score of a plain endpoint in another data centre. */
const REMOTE_PLAIN_FACTOR = 1.25;

/** Age at which a stated load no longer counts; until then its weight falls in proportion. */
const STATED_LOAD_VALIDITY_MS = 1_000;

/** Largest stated load that counts, in multiples of the slots of the endpoint. */
const MAX_STATED_LOAD_FACTOR = 3;

/**
 * Largest stated slowdown that counts. A smaller one than 1 does not count at all, so that an endpoint
 * cannot attract requests by it.
 */
const MAX_STATED_SLOWDOWN = 4;

/** Latency assumed for an endpoint that has not answered yet. */
const DEFAULT_ANSWER_MS = 20;

/** Cost of a failure in an endpoint's score, in multiples of the latency target. */
const FAILURE_COST = 2;

/** Cost of load beyond an engine's memory or slots, relative to load within them. */
const OVERFLOW_COST = 10;

/**
 * Load of an engine above which nothing more is placed there, as a multiple of its memory. Below it
 * a new generation starts late rather than never, as estimates of the output are often too high.
 */
const MAX_MEMORY_OVERCOMMIT = 2;

/** Cost of prompt tokens that wait to be processed, relative to memory in use. */
const WAITING_TOKEN_COST = 3;

/** Maximum share of an engine's memory in use including a new backup, for short generations. */
const MIN_BACKUP_MEMORY_SHARE = 0.35;

/** Addition to `MIN_BACKUP_MEMORY_SHARE` for a generation of `LONG_OUTPUT_TOKENS` or more. */
const LONG_OUTPUT_EXTRA_SHARE = 0.15;

/**
 * Output from which a generation counts as long: its loss costs most, and it is the most likely to
 * need its backup.
 */
const LONG_OUTPUT_TOKENS = 1_000;

/**
 * Share of all engines' memory in use above which no more backups are made. Backups in memory that
 * running generations need soon cause preemptions, and these cost more generations than the
 * backups save.
 */
const MAX_MEMORY_SHARE_FOR_BACKUPS = 0.35;

/**
 * Estimates the output length of a generation.
 *
 * @param demand - the caller's estimate and limit
 * @returns output tokens
 */
export const estimateOutput = (demand: GenerationDemand): number =>
  Math.min(demand.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS, demand.maxOutputTokens);

/**
 * Estimates the peak engine memory of a generation, which it reaches at its end.
 *
 * @param demand - prompt, and estimate and limit of the output
 * @returns prompt and output tokens
 */
export const estimatePeakTokens = (demand: GenerationDemand): number =>
  demand.promptTokens + estimateOutput(demand);

const isUsable = (
  { record, health, coldHeadroom, limitHeadroom, restGate }: Candidate,
  criteria: PlacementCriteria,
): boolean =>
  record.service === criteria.service.name &&
  record.phase === 'ready' &&
  health.avoidUntil <= criteria.now &&
  (coldHeadroom === null || coldHeadroom > 0) &&
  (limitHeadroom === null || limitHeadroom > 0) &&
  (restGate === null || restGate.headroom > 0);

const computeStatedWeight = ({ observedAt }: StatedLoad, now: Millis): number =>
  Math.max(0, 1 - (now - observedAt) / STATED_LOAD_VALIDITY_MS);

/** Computes how much longer work takes on an endpoint than usual, as it states. */
const computeSlowdown = ({ statedLoad }: Candidate, now: Millis): number => {
  const stated = statedLoad?.slowdown ?? null;
  if (statedLoad === null || stated === null) return 1;
  const counted = Math.min(Math.max(1, stated), MAX_STATED_SLOWDOWN);
  return 1 + (counted - 1) * computeStatedWeight(statedLoad, now);
};

/**
 * Counts the requests on an endpoint: those that the daemons report, or those that the endpoint
 * stated if they are more. A statement includes the reported requests, so the two are not added; it
 * never lowers the count, so that an endpoint cannot attract requests by it.
 */
const countRequests = ({ load, record, statedLoad }: Candidate, now: Millis): number => {
  if (statedLoad === null) return load.requests;
  const weight = computeStatedWeight(statedLoad, now);
  const stated = Math.min(statedLoad.requests, MAX_STATED_LOAD_FACTOR * record.slots);
  return Math.max(load.requests, stated * weight);
};

const isRemote = ({ dataCentre }: EndpointRecord, { homeDataCentre }: PlacementCriteria): boolean =>
  dataCentre !== homeDataCentre;

const computePlainScore = (
  candidate: Candidate,
  excessRate: number,
  criteria: PlacementCriteria,
): number => {
  const { health, record } = candidate;
  const answerMs =
    (health.answerMs ?? DEFAULT_ANSWER_MS) * computeSlowdown(candidate, criteria.now);
  const slotShare = countRequests(candidate, criteria.now) / Math.max(1, record.slots);
  const distance = isRemote(record, criteria) ? REMOTE_PLAIN_FACTOR : 1;
  return answerMs * (1 + 2 * slotShare) * distance + excessRate * FAILURE_COST * criteria.targetMs;
};

const computeEngineScore = (
  candidate: Candidate,
  excessRate: number,
  criteria: PlacementCriteria,
): number => {
  const { load, record } = candidate;
  const memory = criteria.service.engine?.memoryTokens ?? 1;
  const demand = criteria.demand === null ? 0 : estimatePeakTokens(criteria.demand);
  const memoryShare = (load.tokens + demand) / memory;
  const slotShare = (countRequests(candidate, criteria.now) + 1) / Math.max(1, record.slots);
  const utilization = Math.max(memoryShare, slotShare);
  // An engine over its capacity preempts running generations, which costs more than any queueing.
  const overflow = utilization > 1 ? (utilization - 1) * OVERFLOW_COST : 0;
  const waiting = (load.waitingTokens * WAITING_TOKEN_COST) / memory;
  const distance = isRemote(record, criteria) ? REMOTE_ENGINE_COST : 0;
  const work = (slotShare + memoryShare + waiting) * computeSlowdown(candidate, criteria.now);
  return work + overflow + distance + excessRate * FAILURE_COST;
};

const computeScore = (
  candidate: Candidate,
  excessRate: number,
  criteria: PlacementCriteria,
): number =>
  criteria.service.engine === null
    ? computePlainScore(candidate, excessRate, criteria)
    : computeEngineScore(candidate, excessRate, criteria);

const chooseLowest = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  random: RandomSource,
): Candidate | null => {
  const rates = candidates.map(({ health }) => computeFailureRate(health, criteria.now));
  // Failures that occur at every endpoint are caused by the requests, so only the excess counts.
  const commonRate = Math.min(...rates);
  let best: Candidate | null = null;
  let bestScore = Infinity;
  for (const [index, candidate] of candidates.entries()) {
    const excessRate = (rates[index] ?? 0) - commonRate;
    const jitter = isRemote(candidate.record, criteria) ? REMOTE_SCORE_JITTER : SCORE_JITTER;
    const score = computeScore(candidate, excessRate, criteria) * (1 + jitter * random.next());
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
};

/**
 * Reports whether an endpoint has so many generations that a new one would wait for its memory
 * until others end.
 *
 * @param candidate - endpoint
 * @param criteria - requirements of the request
 * @returns true when its memory would be exceeded by more than `MAX_MEMORY_OVERCOMMIT` allows
 */
export const isOverloaded = ({ load }: Candidate, criteria: PlacementCriteria): boolean => {
  const { demand, service } = criteria;
  if (service.engine === null || demand === null) return false;
  const tokens = load.tokens + demand.promptTokens;
  return load.requests > 0 && tokens > service.engine.memoryTokens * MAX_MEMORY_OVERCOMMIT;
};

/**
 * Chooses the endpoint of one attempt, preferably one that the request has not been sent to yet.
 *
 * @param candidates - endpoints of the service
 * @param criteria - requirements of the request
 * @param random - source of randomness
 * @returns the endpoint, or null when none can be used
 */
export const placeAttempt = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  random: RandomSource,
): Candidate | null => {
  const usable = candidates.filter((candidate) => isUsable(candidate, criteria));
  const untried = usable.filter(({ record }) => !criteria.tried.has(record.id));
  return chooseLowest(untried.length > 0 ? untried : usable, criteria, random);
};

const listBackupTargets = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  runner: EndpointRecord,
  maxMemoryShare: number,
): readonly Candidate[] => {
  const { demand, service } = criteria;
  if (service.engine === null || demand === null) return [];
  const maxUsedTokens = service.engine.memoryTokens * maxMemoryShare - demand.promptTokens;
  return candidates.filter(
    (candidate) =>
      isUsable(candidate, criteria) &&
      candidate.record.id !== runner.id &&
      candidate.load.tokens <= maxUsedTokens,
  );
};

const computeUsedMemoryShare = (
  candidates: readonly Candidate[],
  { service }: PlacementCriteria,
): number => {
  const memory = (service.engine?.memoryTokens ?? 0) * candidates.length;
  const used = candidates.reduce((sum, { load }) => sum + load.tokens, 0);
  return memory === 0 ? 1 : used / memory;
};

const computeBackupMemoryShare = ({ demand }: PlacementCriteria): number => {
  if (demand === null) return 0;
  const length = Math.min(1, estimateOutput(demand) / LONG_OUTPUT_TOKENS);
  return MIN_BACKUP_MEMORY_SHARE + LONG_OUTPUT_EXTRA_SHARE * length;
};

/**
 * Chooses the endpoint that stores a backup of a running generation: one with enough free memory,
 * in another data centre if possible, so that the loss of one data centre does not lose both
 * copies.
 *
 * @param candidates - endpoints of the service
 * @param criteria - requirements of the generation
 * @param runner - endpoint that runs the generation
 * @param random - source of randomness
 * @returns the endpoint, or null when none has enough free memory
 */
export const placeBackup = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  runner: EndpointRecord,
  random: RandomSource,
): Candidate | null => {
  if (criteria.service.engine?.backups !== 'supported') return null;
  if (computeUsedMemoryShare(candidates, criteria) > MAX_MEMORY_SHARE_FOR_BACKUPS) return null;
  const withCapacity = listBackupTargets(
    candidates,
    criteria,
    runner,
    computeBackupMemoryShare(criteria),
  );
  const inOtherDataCentre = withCapacity.filter(
    ({ record }) => record.dataCentre !== runner.dataCentre,
  );
  return chooseLowest(
    inOtherDataCentre.length > 0 ? inOtherDataCentre : withCapacity,
    criteria,
    random,
  );
};

/** Lists the targets with enough free memory, or all if none has: a full engine refuses at once. */
const listTransferTargets = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  runner: EndpointRecord,
): readonly Candidate[] => {
  const { demand, service } = criteria;
  if (service.engine === null || demand === null) return [];
  const maxUsedTokens = service.engine.memoryTokens - demand.promptTokens;
  const usable = candidates.filter(
    (candidate) => isUsable(candidate, criteria) && candidate.record.id !== runner.id,
  );
  const withCapacity = usable.filter(({ load }) => load.tokens <= maxUsedTokens);
  return withCapacity.length > 0 ? withCapacity : usable;
};

/**
 * Chooses the endpoint to which a running generation is transferred: one with enough free memory if
 * there is any, and in the same data centre if possible, where a transfer takes half the time.
 *
 * @param candidates - endpoints of the service
 * @param criteria - requirements of the generation
 * @param runner - endpoint that runs the generation
 * @param random - source of randomness
 * @returns the endpoint, or null when there is none
 */
export const placeTransfer = (
  candidates: readonly Candidate[],
  criteria: PlacementCriteria,
  runner: EndpointRecord,
  random: RandomSource,
): Candidate | null => {
  if (criteria.service.engine?.moves !== 'supported') return null;
  const targets = listTransferTargets(candidates, criteria, runner);
  const inSameDataCentre = targets.filter(({ record }) => record.dataCentre === runner.dataCentre);
  return chooseLowest(inSameDataCentre.length > 0 ? inSameDataCentre : targets, criteria, random);
};
