import type { EndpointStates } from './supervisor.js';
import type { EngineLoad, HeartbeatContent } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import { getLimit } from '../decisions/admission/decideLimit.js';
import type { ClassTargets, Importance } from '../decisions/placement/types.js';

const NO_LOAD: EngineLoad = {
  startId: '',
  running: 0,
  waiting: 0,
  memoryUsedTokens: 0,
  memoryTotalTokens: 0,
  tokensPerSecond: 0,
  preemptions: 0,
  ageMs: 0,
};

const describePhase = (states: EndpointStates): string => {
  if (states.rpc.phase !== 'accepting' || states.heartbeats.lease.presence === 'leaving') {
    return 'draining';
  }
  const { phase } = states.engine.admission;
  switch (phase.kind) {
    case 'starting':
    case 'ramping':
    case 'serving':
      return phase.kind;
    default:
      return assertNever(phase);
  }
};

/**
 * Describes the endpoint for a heartbeat.
 *
 * Running work is counted here instead of read from the lagging load page, since all work reaches
 * the endpoint through this daemon.
 *
 * @param states - states of the children
 * @param now - current instant
 * @returns phase, limit, load, cached prefixes and evidence
 */
export const describeEndpoint = (
  states: EndpointStates,
  now: Millis,
): Omit<HeartbeatContent, 'sequence' | 'configurationOffset'> => {
  const { engine } = states;
  const load = engine.load ?? NO_LOAD;
  const running = engine.admission.running.size;
  return {
    engineStart: engine.health?.startId ?? '',
    phase: describePhase(states),
    limit: getLimit(engine.admission),
    load: { ...load, running, waiting: 0, ageMs: 0 },
    prefixes: [...engine.cachedPrefixes.hashes],
    prefixAgeMs: Math.max(0, now - engine.cachedPrefixes.newestAt),
    prefixGaps: engine.cachedPrefixes.gaps,
    evidence: [...engine.evidence.values()],
  };
};

/**
 * Returns the targets of a class for admission. For a class that is not published, they are the
 * importance that the entry daemon sent and long answers.
 *
 * @param states - states of the children
 * @param className - class of the request
 * @param importance - importance that the entry daemon sent
 * @returns the class's targets
 */
export const getClassTargets = (
  states: EndpointStates,
  className: string,
  importance: string,
): ClassTargets => {
  const published = states.heartbeats.view.classes.get(className);
  if (published !== undefined) return published;
  const importances: readonly Importance[] = ['critical', 'standard', 'background'];
  return {
    className,
    importance: importances.find((candidate) => candidate === importance) ?? 'standard',
    answerLength: 'long',
  };
};

/**
 * Returns the time between tokens up to which the admission limit may grow: the lowest target of
 * the published classes, since all of them share the endpoint.
 *
 * @param states - states of the children
 * @returns the gap in milliseconds; 0 without published classes
 */
export const getAcceptedGap = (states: EndpointStates): Millis => {
  const gaps = [...states.heartbeats.view.classes.values()].map(({ tokenGapMs }) => tokenGapMs);
  return gaps.length === 0 ? 0 : Math.min(...gaps);
};

/**
 * Returns why the endpoint should receive no new work now.
 *
 * @param states - states of the children
 * @returns the reason, or null when it is ready
 */
export const getUnreadyReason = (states: EndpointStates): string | null => {
  if (states.rpc.phase !== 'accepting') return 'draining';
  if (states.engine.reachability !== 'reached') return 'the endpoint does not answer';
  if (getLimit(states.engine.admission) === 0)
    return 'the identity of the endpoint is not confirmed';
  return states.heartbeats.lease.status === 'held' ? null : 'no lease';
};
