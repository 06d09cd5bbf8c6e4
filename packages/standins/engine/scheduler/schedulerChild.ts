import { addWaiting, settleStep, countUsedTokens, planStep } from './batch.js';
import type { Batch } from './batch.js';
import { EMPTY_CACHE_LOG, recordChanges } from './cacheLog.js';
import type { CacheChange } from './prefixCache.js';
import { computeLoad } from './load.js';
import { computeBearing } from './ramp.js';
import { createRequestCounts } from './requestCounts.js';
import type { SchedulerEnvironment, SchedulerState, SchedulerStats } from './types.js';
import { MAX_TIMER_LAG_MS } from '../constants.js';
import { addFault, computeSlowFactor, decideFault } from '../faults.js';
import type { EngineFault } from '../faults.js';
import type {
  EngineEffect,
  EngineSettings,
  SchedulerEvent,
  Sequence,
  Submission,
} from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

type SchedulerStep = Step<SchedulerState, EngineEffect>;

const EMPTY_BATCH: Batch = { running: [], waiting: [], cache: [] };

const EMPTY_STATS: SchedulerStats = {
  started: 0,
  finished: 0,
  cancelled: 0,
  refused: 0,
  lost: 0,
  tokens: 0,
  preemptions: 0,
  stalledMs: 0,
  overloadedWhileCold: 0,
  maxRunning: 0,
  maxMemoryShare: 0,
  restarts: 0,
};

const addStats = (state: SchedulerState, changes: Partial<SchedulerStats>): SchedulerState => ({
  ...state,
  stats: { ...state.stats, ...changes },
});

const recordCacheChanges = (
  state: SchedulerState,
  changes: readonly CacheChange[],
  environment: SchedulerEnvironment,
): SchedulerState => ({
  ...state,
  cacheLog: recordChanges(
    state.cacheLog,
    changes,
    state.settings.cacheEventLossShare,
    environment.random.next,
    environment.now(),
  ),
});

const computeStepMs = (state: SchedulerState, durationMs: Millis, now: Millis): Millis => {
  const collapse = now < state.collapsedUntil ? state.settings.collapseFactor : 1;
  return durationMs * collapse * computeSlowFactor(state.faults, now);
};

/**
 * Finds the instant from which the next step counts: the planned end of the last one, so that late
 * timers do not add up, unless the process was held up for longer.
 */
const findStepStart = ({ phase }: SchedulerState, now: Millis): Millis =>
  phase.kind === 'stepping' && now - phase.dueAt < MAX_TIMER_LAG_MS ? phase.dueAt : now;

/** Begins the next step, or goes idle when nothing runs. */
const startStep = (state: SchedulerState, environment: SchedulerEnvironment): SchedulerStep => {
  const now = environment.now();
  const plan = planStep(state.batch, state.settings, now);
  const running = plan.batch.running.length;
  const used = countUsedTokens(plan.batch.running) / state.settings.memoryTokens;
  const counted = addStats(
    { ...state, batch: plan.batch },
    {
      preemptions: state.stats.preemptions + plan.preempted.length,
      maxRunning: Math.max(state.stats.maxRunning, running),
      maxMemoryShare: Math.max(state.stats.maxMemoryShare, used),
    },
  );
  const next = recordCacheChanges(counted, plan.changes, environment);
  if (running === 0) return toStep({ ...next, phase: { kind: 'idle' } });
  const number = state.steps + 1;
  const dueAt = findStepStart(state, now) + computeStepMs(state, plan.durationMs, now);
  return toStep<SchedulerState, EngineEffect>(
    { ...next, steps: number, phase: { kind: 'stepping', number, dueAt } },
    {
      kind: 'schedule',
      delayMs: dueAt - now,
      event: { to: 'scheduler', kind: 'step-due', step: number },
    },
  );
};

const toFinish = (sequence: Sequence): EngineEffect => ({
  kind: 'finish',
  sequence: sequence.id,
  reason: sequence.generated < sequence.targetTokens ? 'length' : sequence.finishReason,
  usage: {
    promptTokens: sequence.promptTokens,
    completionTokens: sequence.generated,
    cachedTokens: sequence.cachedTokens,
  },
});

const handleStepDue = (
  state: SchedulerState,
  step: number,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  if (state.phase.kind !== 'stepping' || state.phase.number !== step) return toStep(state);
  const now = environment.now();
  if (now < state.frozenUntil) {
    return toStep(state, {
      kind: 'schedule',
      delayMs: state.frozenUntil - now,
      event: { to: 'scheduler', kind: 'step-due', step },
    });
  }
  const settled = settleStep(state.batch, state.settings, now);
  const counted = addStats(
    { ...state, batch: settled.batch },
    {
      tokens: state.stats.tokens + settled.emitted.length,
      finished: state.stats.finished + settled.finished.length,
      stalledMs: state.stats.stalledMs + settled.stalledMs,
    },
  );
  const following = startStep(
    recordCacheChanges(counted, settled.changes, environment),
    environment,
  );
  const tokens = settled.emitted.map(({ id, generated }) => ({
    sequence: id,
    index: generated - 1,
  }));
  return toStep(
    following.state,
    { kind: 'emit', tokens },
    ...settled.finished.map(toFinish),
    ...following.effects,
  );
};

const refuse = (
  state: SchedulerState,
  sequence: string,
  status: number,
  message: string,
): SchedulerStep =>
  toStep(addStats(state, { refused: state.stats.refused + 1 }), {
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

/** Collapses a cold engine that got more than it bears. */
const checkBearing = (state: SchedulerState, now: Millis): SchedulerState => {
  const bearing = computeBearing(state.readyAt, state.settings, now);
  const inFlight = state.batch.running.length + state.batch.waiting.length;
  if (bearing.kind === 'warm' || inFlight <= bearing.concurrency) return state;
  const { overloadedWhileCold } = state.stats;
  const collapsed = { ...state, collapsedUntil: now + state.settings.collapseMs };
  return addStats(collapsed, { overloadedWhileCold: overloadedWhileCold + 1 });
};

const startSubmission = (
  state: SchedulerState,
  submission: Submission,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  state.counts.add(submission.requestId);
  const batch = addWaiting(state.batch, toSequence(state, submission));
  const started = addStats(
    { ...state, batch, arrivals: state.arrivals + 1 },
    { started: state.stats.started + 1 },
  );
  const next = checkBearing(started, environment.now());
  return next.phase.kind === 'idle' ? startStep(next, environment) : toStep(next);
};

const admitSubmission = (
  state: SchedulerState,
  submission: Submission,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  const id = submission.sequence;
  if (environment.now() < state.readyAt) return refuse(state, id, 503, 'the engine warms up');
  if (submission.promptTokens + 1 > state.settings.memoryTokens) {
    return refuse(state, id, 400, 'the prompt is longer than the memory');
  }
  const inFlight = state.batch.running.length + state.batch.waiting.length;
  const decision = decideFault(state.faults, submission, inFlight, environment.random.next);
  switch (decision.kind) {
    case 'pass':
      return startSubmission(state, submission, environment);
    case 'refuse':
      return refuse(state, id, decision.status, decision.message);
    case 'crash': {
      state.counts.add(submission.requestId);
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
  return toStep(addStats(next, { cancelled: state.stats.cancelled + cancelled }));
};

/** Starts the engine again without sequences, cache or warmth. */
const restartEngine = (
  state: SchedulerState,
  downMs: Millis,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  const lost = [...state.batch.running, ...state.batch.waiting];
  const restarted: SchedulerState = {
    ...state,
    startId: environment.createStartId(),
    readyAt: environment.now() + downMs + state.settings.warmUpMs,
    batch: EMPTY_BATCH,
    phase: { kind: 'idle' },
    collapsedUntil: 0,
    frozenUntil: 0,
    cacheLog: EMPTY_CACHE_LOG,
  };
  const { stats } = state;
  return toStep(
    addStats(restarted, { lost: stats.lost + lost.length, restarts: stats.restarts + 1 }),
    ...lost.map(({ id }) => ({ kind: 'break', sequence: id }) as const),
  );
};

const applyFault = (
  state: SchedulerState,
  fault: EngineFault,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  const now = environment.now();
  switch (fault.kind) {
    case 'restart-cold':
      return restartEngine(state, 0, environment);
    case 'crash': {
      const crashed = restartEngine(state, fault.downMs, environment);
      return toStep(crashed.state, ...crashed.effects, { kind: 'crash', downMs: fault.downMs });
    }
    case 'freeze':
      return toStep(
        { ...state, frozenUntil: Math.max(state.frozenUntil, now + fault.forMs) },
        { kind: 'freeze', forMs: fault.forMs },
      );
    case 'clear':
      return toStep({ ...state, faults: [] });
    case 'slow':
    case 'error-rate':
    case 'errors-under-load':
    case 'crash-on-content':
    case 'set-health':
      return toStep({ ...state, faults: addFault(state.faults, fault, now) });
    default:
      return assertNever(fault);
  }
};

const publishLoad = (state: SchedulerState, environment: SchedulerEnvironment): SchedulerStep => {
  const now = environment.now();
  const again: EngineEffect = {
    kind: 'schedule',
    delayMs: state.settings.loadLagMs,
    event: { to: 'scheduler', kind: 'publish-load' },
  };
  if (now < state.frozenUntil) return toStep(state, again);
  const published = computeLoad(state, now);
  return toStep({ ...state, published, tokensPublished: state.stats.tokens }, again);
};

/**
 * Decides one event of the engine.
 *
 * @param state - engine before the event
 * @param event - submission, cancellation, timer or fault
 * @param environment - time, chance and start identities
 * @returns the next state and what the callers get
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

const initScheduler = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
): SchedulerState => {
  const now = environment.now();
  const startId = environment.createStartId();
  return {
    settings,
    startId,
    version: settings.version,
    readyAt: now + settings.warmUpMs,
    batch: EMPTY_BATCH,
    phase: { kind: 'idle' },
    steps: 0,
    arrivals: 0,
    collapsedUntil: 0,
    frozenUntil: 0,
    faults: [],
    cacheLog: EMPTY_CACHE_LOG,
    stats: EMPTY_STATS,
    counts: createRequestCounts(),
    published: {
      startId,
      running: 0,
      waiting: 0,
      memoryUsedTokens: 0,
      memoryTotalTokens: settings.memoryTokens,
      cachedTokens: 0,
      tokensPerSecond: 0,
      preemptions: 0,
      at: now,
    },
    tokensPublished: 0,
  };
};

/**
 * Creates the child that batches sequences.
 *
 * @param settings - sizes and speeds of the engine
 * @param environment - time, chance and start identities
 * @returns the decisions of the child
 */
export const createSchedulerChild = (
  settings: EngineSettings,
  environment: SchedulerEnvironment,
): ChildLogic<SchedulerState, SchedulerEvent, EngineEffect> => ({
  init: () => publishLoad(initScheduler(settings, environment), environment),
  decide: (state, event) => decideScheduler(state, event, environment),
});
