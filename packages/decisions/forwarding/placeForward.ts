import { DEFAULT_OUTPUT_TOKENS } from './constants.js';
import { computeFailureRate } from './endpointHealth.js';
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
  /** Prompts that are not read yet, so that a new one waits for them. */
  readonly waitingTokens: number;
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

/** Cost of memory beyond what an engine has, against that of memory that it has. */
const OVERFLOW_COST = 10;

/** Cost of a prompt that waits to be read, against that of memory in use. */
const WAITING_COST = 3;

/** Share of an engine's memory that copies of the shortest generations may fill. */
const SHORT_BACKUP_SHARE = 0.35;

/** What is added to that share for a generation of `LONG_OUTPUT_TOKENS`. */
const LONG_BACKUP_SHARE = 0.15;

/** Output from which a generation is long: it is worth most, and is most likely to need its copy. */
const LONG_OUTPUT_TOKENS = 1_000;

/**
 * Share of all engines' memory in use above which no more copies are made. Copies in memory that
 * running generations need soon cost more of them, by preemptions, than they save.
 */
const COPY_AVERAGE_SHARE = 0.35;

/**
 * Estimates the output of a generation.
 *
 * @param demand - the caller's estimate and bound
 * @returns tokens
 */
export const estimateOutput = (demand: GenerationDemand): number =>
  Math.min(demand.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS, demand.maxOutputTokens);

/**
 * Estimates the memory that a generation takes at its end.
 *
 * @param demand - prompt and bound of the output
 * @returns tokens
 */
export const estimateTokens = (demand: GenerationDemand): number =>
  demand.promptTokens + estimateOutput(demand);

const isUsable = ({ record, health, coldRoom }: Candidate, question: PlacementQuestion): boolean =>
  record.service === question.service.name &&
  record.phase === 'ready' &&
  health.avoidUntil <= question.now &&
  (coldRoom === null || coldRoom > 0);

const computePlainScore = (
  { record, health, load }: Candidate,
  excessRate: number,
  question: PlacementQuestion,
): number => {
  const answerMs = health.answerMs ?? UNKNOWN_ANSWER_MS;
  const fill = load.requests / Math.max(1, record.slots);
  return answerMs * (1 + 2 * fill) + excessRate * FAILURE_COST * question.targetMs;
};

const computeEngineScore = (
  { record, load }: Candidate,
  excessRate: number,
  question: PlacementQuestion,
): number => {
  const memory = question.service.engine?.memoryTokens ?? 1;
  const demand = question.demand === null ? 0 : estimateTokens(question.demand);
  const memoryShare = (load.tokens + demand) / memory;
  const slotShare = (load.requests + 1) / Math.max(1, record.slots);
  const crowding = Math.max(memoryShare, slotShare);
  // An engine without room preempts running generations, which costs more than any queue.
  const overflow = crowding > 1 ? (crowding - 1) * OVERFLOW_COST : 0;
  const waiting = (load.waitingTokens * WAITING_COST) / memory;
  return slotShare + memoryShare + waiting + overflow + excessRate * FAILURE_COST;
};

const computeScore = (
  candidate: Candidate,
  excessRate: number,
  question: PlacementQuestion,
): number =>
  question.service.engine === null
    ? computePlainScore(candidate, excessRate, question)
    : computeEngineScore(candidate, excessRate, question);

const chooseLowest = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  random: RandomSource,
): Candidate | null => {
  const rates = candidates.map(({ health }) => computeFailureRate(health, question.now));
  // Failures that all endpoints have alike speak against the requests, not against an endpoint.
  const commonRate = Math.min(...rates);
  let best: Candidate | null = null;
  let bestScore = Infinity;
  for (const [index, candidate] of candidates.entries()) {
    const excessRate = (rates[index] ?? 0) - commonRate;
    const score = computeScore(candidate, excessRate, question) * (1 + NOISE * random.next());
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
};

/**
 * Tells whether an endpoint has room for a request without a preemption.
 *
 * @param candidate - endpoint
 * @param question - what the request asks for
 * @returns whether memory and slots suffice
 */
export const hasRoom = ({ load, record }: Candidate, question: PlacementQuestion): boolean => {
  const { demand, service } = question;
  if (service.engine === null || demand === null) return true;
  const tokens = load.tokens + demand.promptTokens;
  return tokens <= service.engine.memoryTokens && load.requests < record.slots;
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

const listWithRoom = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  runner: EndpointRecord,
  memoryShare: number,
): readonly Candidate[] => {
  const { demand, service } = question;
  if (service.engine === null || demand === null) return [];
  const room = service.engine.memoryTokens * memoryShare - demand.promptTokens;
  return candidates.filter(
    (candidate) =>
      isUsable(candidate, question) &&
      candidate.record.id !== runner.id &&
      candidate.load.tokens <= room,
  );
};

const computeMemoryShare = (
  candidates: readonly Candidate[],
  { service }: PlacementQuestion,
): number => {
  const memory = (service.engine?.memoryTokens ?? 0) * candidates.length;
  const used = candidates.reduce((sum, { load }) => sum + load.tokens, 0);
  return memory === 0 ? 1 : used / memory;
};

const computeBackupShare = ({ demand }: PlacementQuestion): number => {
  if (demand === null) return 0;
  const length = Math.min(1, estimateOutput(demand) / LONG_OUTPUT_TOKENS);
  return SHORT_BACKUP_SHARE + LONG_BACKUP_SHARE * length;
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
  if (question.service.engine?.backups !== 'supported') return null;
  if (computeMemoryShare(candidates, question) > COPY_AVERAGE_SHARE) return null;
  const withRoom = listWithRoom(candidates, question, runner, computeBackupShare(question));
  const apart = withRoom.filter(({ record }) => record.dataCentre !== runner.dataCentre);
  return chooseLowest(apart.length > 0 ? apart : withRoom, question, random);
};

/** Targets with room, or any: an engine without room says so at once. */
const listTargets = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  runner: EndpointRecord,
): readonly Candidate[] => {
  const { demand, service } = question;
  if (service.engine === null || demand === null) return [];
  const room = service.engine.memoryTokens - demand.promptTokens;
  const usable = candidates.filter(
    (candidate) => isUsable(candidate, question) && candidate.record.id !== runner.id,
  );
  const withRoom = usable.filter(({ load }) => load.tokens <= room);
  return withRoom.length > 0 ? withRoom : usable;
};

/**
 * Chooses the endpoint that takes over a running generation: one with room, in the same data centre
 * if possible, since a transfer within it takes half the time.
 *
 * @param candidates - endpoints that may be used
 * @param question - what the generation asks for
 * @param runner - endpoint that runs it
 * @param random - source of chance
 * @returns the endpoint, or null when there is none
 */
export const placeTransfer = (
  candidates: readonly Candidate[],
  question: PlacementQuestion,
  runner: EndpointRecord,
  random: RandomSource,
): Candidate | null => {
  if (question.service.engine?.moves !== 'supported') return null;
  const targets = listTargets(candidates, question, runner);
  const near = targets.filter(({ record }) => record.dataCentre === runner.dataCentre);
  return chooseLowest(near.length > 0 ? near : targets, question, random);
};
