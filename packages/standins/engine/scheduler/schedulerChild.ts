import { addWaiting } from './batch.js';
import { computeLoad } from './load.js';
import { computeConcurrencyLimit } from './ramp.js';
import { applyFault, restartEngine } from './restart.js';
import { updateStats, initScheduler } from './state.js';
import type { SchedulerStep } from './state.js';
import { handleStepDue, startStep } from './stepping.js';
import type { SchedulerEnvironment, SchedulerState, SchedulerStats } from './types.js';
import { decideFault } from '../faults.js';
import type {
  EngineEffect,
  EngineSettings,
  SchedulerEvent,
  Sequence,
  Submission,
} from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

const refuse = (
  state: SchedulerState,
  sequence: string,
  status: number,
  message: string,
): SchedulerStep =>
  toStep(updateStats(state, { refused: state.stats.refused + 1 }), {
    kind: 'refuse',
    sequence,
    status,
    message,
  });

const toSequence = (state: SchedulerState, submission: Submission): Sequence => ({
  id: submission.sequence,
  requestId: submission.requestId,
  priority: submission.priority,
  arrival: state.arrivals,
  promptTokens: submission.promptTokens,
  targetTokens: submission.targetTokens,
  finishReason: submission.finishReason,
  prefix: submission.prefix,
  version: state.version,
  generated: 0,
  prefillLeft: 0,
  cachedTokens: 0,
  stalledSince: 'not-stalled',
});

/** Slows a cold engine down for a time if it has more sequences than its concurrency limit. */
const applyColdLimit = (state: SchedulerState, now: Millis): SchedulerState => {
  const limit = computeConcurrencyLimit(state.readyAt, state.settings, now);
  const inFlight = state.batch.running.length + state.batch.waiting.length;
  if (limit.kind === 'warm' || inFlight <= limit.concurrency) return state;
  const { overloadedWhileCold } = state.stats;
  const collapsed = { ...state, collapsedUntil: now + state.settings.collapseMs };
  return updateStats(collapsed, { overloadedWhileCold: overloadedWhileCold + 1 });
};

const countStarted = ({ stats, version }: SchedulerState): Partial<SchedulerStats> => ({
  started: stats.started + 1,
  startedByVersion: {
    ...stats.startedByVersion,
    [version]: (stats.startedByVersion[version] ?? 0) + 1,
  },
});

const startSubmission = (
  state: SchedulerState,
  submission: Submission,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  state.requestCounts.add(submission.requestId);
  const batch = addWaiting(state.batch, toSequence(state, submission));
  const started = updateStats(
    { ...state, batch, arrivals: state.arrivals + 1 },
    countStarted(state),
  );
  const next = applyColdLimit(started, environment.now());
  return next.phase.kind === 'idle' ? startStep(next, environment) : toStep(next);
};

const admitSubmission = (
  state: SchedulerState,
  submission: Submission,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  const id = submission.sequence;
  if (environment.now() < state.readyAt) return refuse(state, id, 503, 'the engine is warming up');
  if (submission.promptTokens + 1 > state.settings.memoryTokens) {
    return refuse(state, id, 400, 'the prompt does not fit in the memory of the engine');
  }
  const inFlight = state.batch.running.length + state.batch.waiting.length;
  const decision = decideFault(state.faults, submission, inFlight, environment.random.next);
  switch (decision.kind) {
    case 'pass':
      return startSubmission(state, submission, environment);
    case 'refuse':
      return refuse(state, id, decision.status, decision.message);
    case 'crash': {
      state.requestCounts.add(submission.requestId);
      const crashed = restartEngine(state, decision.downMs, environment);
      return toStep(crashed.state, { kind: 'break', sequence: id }, ...crashed.effects, {
        kind: 'crash',
        downMs: decision.downMs,
      });
    }
    default:
      return assertNever(decision);
  }
};

const cancelSequence = (state: SchedulerState, id: string): SchedulerStep => {
  const keep = ({ id: other }: Sequence): boolean => other !== id;
  const running = state.batch.running.filter(keep);
  const waiting = state.batch.waiting.filter(keep);
  const before = state.batch.running.length + state.batch.waiting.length;
  const cancelled = before - running.length - waiting.length;
  const next = { ...state, batch: { ...state.batch, running, waiting } };
  return toStep(updateStats(next, { cancelled: state.stats.cancelled + cancelled }));
};

const publishLoad = (state: SchedulerState, environment: SchedulerEnvironment): SchedulerStep => {
  const now = environment.now();
  const nextPublication: EngineEffect = {
    kind: 'schedule',
    delayMs: state.settings.loadLagMs,
    event: { to: 'scheduler', kind: 'publish-load' },
  };
  if (now < state.frozenUntil) return toStep(state, nextPublication);
  const published = computeLoad(state, now);
  return toStep({ ...state, published, tokensPublished: state.stats.tokens }, nextPublication);
};

/**
 * Decides one event of the engine.
 *
 * @param state - state of the engine before the event
 * @param event - submission, cancellation, timer or fault
 * @param environment - time, random numbers and start identities
 * @returns the next state and the effects
 */
export const decideScheduler = (
  state: SchedulerState,
  event: SchedulerEvent,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  switch (event.kind) {
    case 'submit':
      return admitSubmission(state, event.submission, environment);
    case 'cancel':
      return cancelSequence(state, event.sequence);
    case 'step-due':
      return handleStepDue(state, event.step, environment);
    case 'apply-fault':
      return applyFault(state, event.fault, environment);
    case 'set-version':
      return toStep({ ...state, version: event.version });
    case 'publish-load':
      return publishLoad(state, environment);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that runs sequences in batches.
 *
 * @param settings - settings of the engine
 * @param environment - time, random numbers and start identities
 * @returns the decisions of the child
 */
export const createSchedulerChild = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
): ChildLogic<SchedulerState, SchedulerEvent, EngineEffect> => ({
  init: () => publishLoad(initScheduler(settings, environment), environment),
  decide: (state, event) => decideScheduler(state, event, environment),
});
