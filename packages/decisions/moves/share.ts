import {
  CANARY_SHARE,
  SUSPICION_RATIO,
  SUSPICION_MAX_STAGE,
  EVIDENCE_MAX_AGE_MS,
  RAMP_TIME_FRACTION,
  SHARE_STAGES,
  STAGE_MIN_ANSWERS,
} from './constants.js';
import { collectRouteEvidence, findSignificantFault } from './evidence.js';
import type { RouteEvidence } from './evidence.js';
import type { Evidence, Move, ShareDecision, VersionSide } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Values of a request hash: the hash is an unsigned number of 32 bits. */
const HASH_VALUES = 2 ** 32;

/**
 * Chooses the version for one request. A request that goes to the new version at one share goes
 * there at every larger one.
 *
 * @param share - share of the new version, from 0 to 1
 * @param requestHash - hash of the request's id, an unsigned number of 32 bits
 * @returns the version's side
 */
export const chooseVersion = (share: number, requestHash: number): VersionSide =>
  requestHash / HASH_VALUES < share ? 'new' : 'old';

const computeTimeStage = (move: Move, now: Millis): number => {
  const growthMs = (move.deadline - move.startedAt) * RAMP_TIME_FRACTION;
  // One interval more than stages, so that the full share is reached with time to soak.
  return Math.floor(((now - move.startedAt) / growthMs) * (SHARE_STAGES.length + 1));
};

const computeEvidenceStage = ({ answers, logEvidence }: RouteEvidence): number => {
  const stage = STAGE_MIN_ANSWERS.findLastIndex((needed) => answers >= needed);
  return logEvidence >= Math.log(SUSPICION_RATIO) ? Math.min(stage, SUSPICION_MAX_STAGE) : stage;
};

/**
 * Decides the share of the new version on each route from the record, the time and the evidence
 * alone, so that entry daemons with the same evidence decide the same.
 *
 * @param move - record of the move
 * @param evidence - evidence after its newest look
 * @param now - current instant
 * @returns the shares, or a stop
 */
export const decideShare = (move: Move, evidence: Evidence, now: Millis): ShareDecision => {
  const finding = findSignificantFault(evidence);
  if (finding !== null) return { kind: 'stop', finding };
  const isStale = now - evidence.newVersionReportAt > EVIDENCE_MAX_AGE_MS;
  const timeStage = isStale ? 0 : computeTimeStage(move, now);
  const routes = new Map<string, number>();
  let suspicion: 'none' | 'some' = 'none';
  for (const [route, routeEvidence] of collectRouteEvidence(evidence)) {
    const stage = Math.min(timeStage, computeEvidenceStage(routeEvidence));
    routes.set(route, SHARE_STAGES[Math.max(0, stage)] ?? CANARY_SHARE);
    if (routeEvidence.logEvidence >= Math.log(SUSPICION_RATIO)) suspicion = 'some';
  }
  const isFull = routes.size > 0 && [...routes.values()].every((share) => share === 1);
  return { kind: 'shares', routes, progress: isFull ? 'full' : 'growing', suspicion };
};
