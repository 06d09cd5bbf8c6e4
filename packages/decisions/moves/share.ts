import {
  CANARY_SHARE,
  EVIDENCE_MAX_AGE_MS,
  RAMP_TIME_FRACTION,
  SHARE_STAGES,
  STAGE_MIN_ANSWERS,
  SUSPICION_MAX_STAGE,
  SUSPICION_RATIO,
} from './constants.js';
import { collectRouteEvidence, findSignificantFault } from './evidence.js';
import type { RouteEvidence } from './evidence.js';
import type { Evidence, Move, ShareDecision, VersionSide } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Number of values of a request hash, an unsigned 32-bit integer. */
const HASH_VALUES = 2 ** 32;

/**
 * Chooses the version for one request. A request that is sent to the new version at one share is
 * sent there at every larger one.
 *
 * @param share - share of the new version, from 0 to 1
 * @param requestHash - hash of the request's id, an unsigned 32-bit integer
 * @returns the chosen version
 */
export const chooseVersion = (share: number, requestHash: number): VersionSide =>
  requestHash / HASH_VALUES < share ? 'new' : 'old';

const computeTimeStage = (move: Move, now: Millis): number => {
  const rampMs = (move.deadline - move.startedAt) * RAMP_TIME_FRACTION;
  // There is one more interval than there are stages, so that the full share has time to soak.
  return Math.floor(((now - move.startedAt) / rampMs) * (SHARE_STAGES.length + 1));
};

const computeEvidenceStage = ({ answers, logEvidence }: RouteEvidence): number => {
  const stage = STAGE_MIN_ANSWERS.findLastIndex((needed) => answers >= needed);
  return logEvidence >= Math.log(SUSPICION_RATIO) ? Math.min(stage, SUSPICION_MAX_STAGE) : stage;
};

/**
 * Decides the share of the new version on each route. The decision depends only on the move, the
 * time and the evidence, so entry daemons with the same evidence decide alike.
 *
 * @param move - record of the move
 * @param evidence - evidence after its latest evaluation
 * @param now - current instant
 * @returns the shares, or a stop with the fault that was found
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
  return { kind: 'shares', routes, progress: isFull ? 'full' : 'ramping', suspicion };
};
