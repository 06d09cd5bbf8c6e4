import {
  EVIDENCE_LOAD_SHARE,
  GAP_WEIGHT,
  GROWTH_FREE_MEMORY_SHARE,
  MAX_GAP_FACTOR,
  MIN_GAP_SAMPLES,
} from './constants.js';
import type {
  AdmissionContext,
  AdmissionEffect,
  AdmissionEvent,
  AdmissionPhase,
  AdmissionRequest,
  AdmissionSettings,
  AdmissionState,
  EngineIdentity,
  LimitCause,
  RunningSequence,
  TokenGaps,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RequestId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';

type AdmissionStep = Step<AdmissionState, AdmissionEffect>;
type EventOf<Kind extends AdmissionEvent['kind']> = Extract<
  AdmissionEvent,
  { readonly kind: Kind }
>;

const NO_GAPS: TokenGaps = { samples: 0 };

/** Creates the state of a daemon that has not yet read its engine's identity. */
export const createAdmissionState = (now: Millis): AdmissionState => ({
  phase: { kind: 'starting' },
  running: new Map(),
  memory: { usedTokens: 0, totalTokens: 0, tokensPerSecond: 0, preemptions: 0 },
  gaps: NO_GAPS,
  evidence: 0,
  changedAt: now,
});

/**
 * Returns the number of sequences that may run now.
 *
 * @param state - admission state
 * @returns the limit; 0 while the engine's identity is not confirmed
 */
export const getLimit = (state: AdmissionState): number => {
  switch (state.phase.kind) {
    case 'starting':
      return 0;
    case 'ramping':
    case 'serving':
      return state.phase.limit;
    default:
      return assertNever(state.phase);
  }
};

/**
 * Counts the sequences admitted since the engine's identity was last confirmed.
 *
 * @param state - admission state
 * @returns number of unconfirmed sequences
 */
export const countUnconfirmed = (state: AdmissionState): number => {
  let count = 0;
  for (const sequence of state.running.values()) {
    if (sequence.engine === 'unconfirmed') count += 1;
  }
  return count;
};

const applyPhase = (
  state: AdmissionState,
  phase: AdmissionPhase,
  cause: LimitCause,
  now: Millis,
): AdmissionStep => {
  const next = { ...state, phase, evidence: 0, changedAt: now };
  return toStep(next, { kind: 'limit-changed', limit: getLimit(next), phase: phase.kind, cause });
};

const startRamp = (
  state: AdmissionState,
  identity: EngineIdentity,
  settings: AdmissionSettings,
  cause: LimitCause,
  now: Millis,
): AdmissionStep =>
  applyPhase(
    { ...state, gaps: NO_GAPS },
    { kind: 'ramping', identity, limit: settings.startLimit },
    cause,
    now,
  );

/** Stops admission until the identity is read again, since a failure may mean a restart. */
const handleSuspectedEngine = (state: AdmissionState, now: Millis): AdmissionStep => {
  const { phase } = state;
  if (phase.kind === 'starting') return toStep(state, { kind: 'read-load' });
  const previous = { identity: phase.identity, limit: phase.limit };
  const step = applyPhase(state, { kind: 'starting', previous }, 'engine-suspected', now);
  return toStep(step.state, ...step.effects, { kind: 'read-load' });
};

/**
 * Sequences confirmed under the old identity are lost with the old engine; unconfirmed ones may run
 * on the new one.
 */
const handleNewEngine = (
  state: AdmissionState,
  identity: EngineIdentity,
  settings: AdmissionSettings,
  now: Millis,
): AdmissionStep => {
  const lost = [...state.running.values()].filter((sequence) => sequence.engine === 'confirmed');
  const running = new Map(state.running);
  for (const sequence of lost) running.delete(sequence.requestId);
  const step = startRamp({ ...state, running }, identity, settings, 'engine-changed', now);
  return toStep(step.state, ...step.effects, {
    kind: 'sequences-lost',
    requestIds: lost.map((sequence) => sequence.requestId),
  });
};

const applyDecrease = (
  state: AdmissionState,
  settings: AdmissionSettings,
  cause: LimitCause,
  now: Millis,
): AdmissionStep => {
  if (state.phase.kind === 'starting' || now - state.changedAt < settings.settleMs) {
    return toStep(state);
  }
  const { identity, limit } = state.phase;
  const lower = Math.max(settings.startLimit, Math.floor(limit * settings.decreaseFactor));
  return applyPhase(state, { kind: 'serving', identity, limit: lower }, cause, now);
};

const handleIdentity = (
  state: AdmissionState,
  identity: EngineIdentity,
  settings: AdmissionSettings,
  now: Millis,
): AdmissionStep => {
  const { phase } = state;
  if (phase.kind !== 'starting') {
    return phase.identity === identity
      ? toStep(state)
      : handleNewEngine(state, identity, settings, now);
  }
  if (phase.previous === undefined) {
    return startRamp(state, identity, settings, 'engine-seen', now);
  }
  if (phase.previous.identity !== identity) return handleNewEngine(state, identity, settings, now);
  const limit = Math.max(settings.startLimit, Math.floor(phase.previous.limit / 2));
  return applyPhase(state, { kind: 'ramping', identity, limit }, 'engine-seen', now);
};

/** A load page requested before a sequence's admission does not confirm the sequence's engine. */
const updateSequence = (
  sequence: RunningSequence,
  event: EventOf<'load-read'>,
): RunningSequence => ({
  ...sequence,
  engine: sequence.admittedAt < event.requestedAt ? 'confirmed' : sequence.engine,
  generated: event.generated.get(sequence.requestId) ?? sequence.generated,
});

const handleLoad = (
  state: AdmissionState,
  event: EventOf<'load-read'>,
  settings: AdmissionSettings,
): AdmissionStep => {
  const identityStep = handleIdentity(state, event.identity, settings, event.now);
  const running = new Map<RequestId, RunningSequence>();
  for (const [id, sequence] of identityStep.state.running) {
    running.set(id, updateSequence(sequence, event));
  }
  const next = { ...identityStep.state, running, memory: event.memory };
  const preempted =
    identityStep.effects.length === 0 && event.memory.preemptions > state.memory.preemptions;
  if (!preempted) return toStep(next, ...identityStep.effects);
  return applyDecrease(next, settings, 'preemption', event.now);
};

const addRunning = (
  state: AdmissionState,
  request: AdmissionRequest,
  admittedAt: Millis,
): AdmissionState => ({
  ...state,
  running: new Map(state.running).set(request.requestId, {
    ...request,
    generated: 0,
    engine: 'unconfirmed',
    admittedAt,
  }),
});

const handleAdmitted = (
  state: AdmissionState,
  event: EventOf<'admitted'>,
  settings: AdmissionSettings,
): AdmissionStep => {
  const next = addRunning(state, event.request, event.now);
  return countUnconfirmed(next) >= settings.maxUnconfirmed
    ? toStep(next, { kind: 'read-load' })
    : toStep(next);
};

/**
 * Caps a gap: a prefill or a preemption causes single gaps of seconds, which must not be mistaken
 * for a cold engine.
 */
const computeCappedGap = (
  gapMs: Millis,
  baselineMs: Millis | undefined,
  settings: AdmissionSettings,
): Millis => Math.min(gapMs, settings.coldFactor * MAX_GAP_FACTOR * (baselineMs ?? Infinity));

const updateGaps = (gaps: TokenGaps, gapMs: Millis): TokenGaps => {
  const recentMs =
    gaps.recentMs === undefined ? gapMs : gaps.recentMs + GAP_WEIGHT * (gapMs - gaps.recentMs);
  const samples = gaps.samples + 1;
  if (samples < MIN_GAP_SAMPLES) return { recentMs, samples };
  return { recentMs, samples, baselineMs: Math.min(gaps.baselineMs ?? Infinity, recentMs) };
};

const isNearBaseline = (gaps: TokenGaps, settings: AdmissionSettings): boolean =>
  gaps.baselineMs !== undefined &&
  gaps.recentMs !== undefined &&
  gaps.recentMs <= Math.max(settings.nearBaselineFactor * gaps.baselineMs, settings.acceptedGapMs);

const hasFreeMemory = (state: AdmissionState): boolean => {
  const { usedTokens, totalTokens } = state.memory;
  return totalTokens === 0 || usedTokens <= totalTokens * (1 - GROWTH_FREE_MEMORY_SHARE);
};

const addEvidence = (
  state: AdmissionState,
  amount: number,
  settings: AdmissionSettings,
  now: Millis,
): AdmissionStep => {
  const { phase } = state;
  if (phase.kind === 'starting') return toStep(state);
  if (state.running.size < phase.limit * EVIDENCE_LOAD_SHARE) return toStep(state);
  const evidence = state.evidence + amount;
  const hasEnoughEvidence = evidence >= phase.limit && phase.limit < settings.maxLimit;
  if (!hasEnoughEvidence || !isNearBaseline(state.gaps, settings) || !hasFreeMemory(state)) {
    return toStep({ ...state, evidence: Math.min(evidence, phase.limit) });
  }
  const factor = phase.kind === 'ramping' ? settings.growthFactor : 1;
  const grown = Math.max(phase.limit + 1, Math.floor(phase.limit * factor));
  const limit = Math.min(settings.maxLimit, grown);
  const kind = limit === settings.maxLimit ? 'serving' : phase.kind;
  return applyPhase(state, { kind, identity: phase.identity, limit }, 'evidence', now);
};

const handleTokens = (
  state: AdmissionState,
  event: EventOf<'tokens-received'>,
  settings: AdmissionSettings,
): AdmissionStep => {
  const { phase } = state;
  const { baselineMs } = state.gaps;
  if (phase.kind === 'starting') return toStep(state);
  const gaps = updateGaps(state.gaps, computeCappedGap(event.gapMs, baselineMs, settings));
  const next = { ...state, gaps };
  const recentMs = gaps.recentMs ?? 0;
  const factor = recentMs / (gaps.baselineMs ?? Infinity);
  if (recentMs <= settings.acceptedGapMs || factor <= settings.collapseFactor) {
    return addEvidence(next, event.tokens / settings.evidenceTokens, settings, event.now);
  }
  return factor > settings.coldFactor
    ? startRamp(next, phase.identity, settings, 'cold-latency', event.now)
    : applyDecrease(next, settings, 'collapse', event.now);
};

const handleEnd = (
  state: AdmissionState,
  event: EventOf<'sequence-ended'>,
  settings: AdmissionSettings,
): AdmissionStep => {
  if (!state.running.has(event.requestId)) return toStep(state);
  const running = new Map(state.running);
  running.delete(event.requestId);
  switch (event.reason) {
    case 'finished': {
      // Evidence is added before the sequence is removed, since the sequence was part of the load.
      const step = addEvidence(state, settings.completionEvidence, settings, event.now);
      return toStep({ ...step.state, running }, ...step.effects);
    }
    case 'cancelled':
      return toStep({ ...state, running });
    case 'engine-failed':
      return handleSuspectedEngine({ ...state, running }, event.now);
    default:
      return assertNever(event.reason);
  }
};

/**
 * Decides the admission limit. It starts low, grows with evidence, is multiplied by the decrease
 * factor when the engine shows signs of collapse or preempts, and is reset to the start limit when
 * the engine may be cold.
 *
 * @param state - admission state
 * @param event - observation of the engine or of its sequences
 * @param context - settings and length estimates
 * @returns next state and effects
 */
export const decideLimit = (
  state: AdmissionState,
  event: AdmissionEvent,
  context: AdmissionContext,
): AdmissionStep => {
  const { settings } = context;
  switch (event.kind) {
    case 'load-read':
      return handleLoad(state, event, settings);
    case 'admitted':
      return handleAdmitted(state, event, settings);
    case 'tokens-received':
      return handleTokens(state, event, settings);
    case 'sequence-ended':
      return handleEnd(state, event, settings);
    case 'engine-unreachable':
      return handleSuspectedEngine(state, event.now);
    default:
      return assertNever(event);
  }
};
