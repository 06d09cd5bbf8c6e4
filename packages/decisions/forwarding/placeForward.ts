import { DEFAULT_OUTPUT_TOKENS } from './constants.js';
import type { EndpointHealth } from './endpointHealth.js';
import type { EndpointRecord, GenerationDemand, Service } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';

/** Work on one endpoint, of this daemon and as its peers last reported theirs. */
export interface EndpointLoad {
  readonly requests: number;
  /** Memory of running generations and of copies for others. */
  readonly tokens: number;
}

/** One endpoint as a placement sees it. */
export interface Candidate {
  readonly record: EndpointRecord;
  readonly health: EndpointHealth;
  readonly load: EndpointLoad;
  /** Requests that a cold endpoint may still get from this daemon now; null when it is warm. */
  readonly coldRoom: number | null;
}

export interface PlacementQuestion {
  readonly service: Service;
  readonly demand: GenerationDemand | null;
  /** Time within which an answer is on time. */
  readonly targetMs: Millis;
  /** Endpoints that this request has already been at. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly now: Millis;
}

/** Share of its score by which an endpoint may look better or worse, so that daemons with the same view do not all choose the same one. */
const NOISE = 0.1;

/** Duration assumed of an endpoint that has not answered yet. */
const UNKNOWN_ANSWER_MS = 20;

/** Targets that a failure costs in a comparison of endpoints. */
const FAILURE_COST = 2;

/** Share of an engine's memory above which copies for other engines are not placed there. */
const BACKUP_MEMORY_SHARE = 0.8;

/**
 * Estimates the memory that a generation takes at its end.
 *
 * @param demand - prompt and bound of the output
 * @returns tokens
 */
export const estimateTokens = (demand: GenerationDemand): number => {
  const expected = demand.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  return demand.promptTokens + Math.min(expected, demand.maxOutputTokens);
};

const isUsable = ({ record, health, coldRoom }: Candidate, question: PlacementQuestion): boolean =>
  record.service === question.service.name &&
  record.phase === 'ready' &&
  health.avoidUntil <= question.now &&
  (coldRoom === null || coldRoom > 0);

const scorePlain = ({ record, health, load }: Candidate, question: PlacementQuestion): number => {
  const answerMs = health.answerMs ?? UNKNOWN_ANSWER_MS;
  const fill = load.requests / Math.max(1, record.slots);
  return answerMs * (1 + 2 * fill) + health.failureRate * FAILURE_COST * question.targetMs;
};

const scoreEngine = (candidate: Candidate, question: PlacementQuestion): number => {
  const { record, health, load } = candidate;
  const memory = question.service.engine?.memoryTokens ?? 1;
  const demand = question.demand === null ? 0 : estimateTokens(question.demand);
  const memoryShare = (load.tokens + demand) / memory;
  const slotShare = (load.requests + 1) / Math.max(1, record.slots);
  const crowding = Math.max(memoryShare, slotShare);
  // An engine without room preempts running generations, which costs more than any queue.
  const overflow = crowding > 1 ? (crowding - 1) * 10 : 0;
  return slotShare + memoryShare + overflow + health.failureRate * FAILURE_COST;
};

const scoreCandidate = (candidate: Candidate, question: PlacementQuestion): number =>
  question.service.engine === null
    ? scorePlain(candidate, question)
    : scoreEngine(candidate, question);

const chooseLowest = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  random: RandomSource,
): Candidate | null => {
  let best: Candidate | null = null;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const score = scoreCandidate(candidate, question) * (1 + NOISE * random.next());
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
};

/**
 * Chooses the endpoint of one attempt: one that the request has not been at if there is any.
 *
 * @param candidates - endpoints that may be used
 * @param question - what the request asks for
 * @param random - source of chance
 * @returns the endpoint, or null when none can be used
 */
export const placeForward = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  random: RandomSource,
): Candidate | null => {
  const usable = candidates.filter((candidate) => isUsable(candidate, question));
  const fresh = usable.filter(({ record }) => !question.tried.has(record.id));
  return chooseLowest(fresh.length > 0 ? fresh : usable, question, random);
};

/**
 * Chooses the endpoint that keeps a copy of a running generation: one with room, in another data
 * centre if possible, so that the loss of a data centre does not take both.
 *
 * @param candidates - endpoints that may be used
 * @param question - what the generation asks for
 * @param runner - endpoint that runs it
 * @param random - source of chance
 * @returns the endpoint, or null when none has room
 */
export const placeBackup = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  runner: EndpointRecord,
  random: RandomSource,
): Candidate | null => {
  const { engine } = question.service;
  if (engine?.backups !== 'supported' || question.demand === null) return null;
  const demand = estimateTokens(question.demand);
  const withRoom = candidates.filter(
    (candidate) =>
      isUsable(candidate, question) &&
      candidate.record.id !== runner.id &&
      candidate.load.tokens + demand <= engine.memoryTokens * BACKUP_MEMORY_SHARE,
  );
  const apart = withRoom.filter(({ record }) => record.dataCentre !== runner.dataCentre);
  return chooseLowest(apart.length > 0 ? apart : withRoom, question, random);
};
