import { countUsedTokens, planStep, finishStep } from './batch.js';
import { updateStats, recordCacheChanges } from './state.js';
import type { SchedulerStep } from './state.js';
import type { SchedulerEnvironment, SchedulerState } from './types.js';
import { MAX_TIMER_LAG_MS } from '../constants.js';
import { computeSlowFactor } from '../faults.js';
import type { EngineEffect, Sequence } from '../types.js';
import type { Millis } from '../../../core/clock.js';
import { toStep } from '../../../core/step.js';

const computeStepMs = (state: SchedulerState, durationMs: Millis, now: Millis): Millis => {
  const collapse = now < state.collapsedUntil ? state.settings.collapseFactor : 1;
  return durationMs * collapse * computeSlowFactor(state.faults, now);
};

/**
 * Finds the instant at which the next step starts: the planned end of the last one, so that timer
 * delays don't accumulate. A delay of `MAX_TIMER_LAG_MS` or more, as after a pause of the process,
 * is not compensated.
 */
const findStepStart = ({ phase }: SchedulerState, now: Millis): Millis =>
  phase.kind === 'stepping' && now - phase.dueAt < MAX_TIMER_LAG_MS ? phase.dueAt : now;

/**
 * Starts the next step, or becomes idle if no sequence runs.
 *
 * @param state - state of the engine between two steps
 * @param environment - time and random numbers
 * @returns the next state and the timer of the step's end
 */
export const startStep = (
  state: SchedulerState,
  environment: SchedulerEnvironment,
): SchedulerStep => {
  const now = environment.now();
  const plan = planStep(state.batch, state.settings, now);
  const running = plan.batch.running.length;
  const used = countUsedTokens(plan.batch.running) / state.settings.memoryTokens;
  const counted = updateStats(
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

const toFinishEffect = (sequence: Sequence): EngineEffect => ({
  kind: 'finish',
  sequence: sequence.id,
  reason: sequence.generated < sequence.targetTokens ? 'length' : sequence.finishReason,
  usage: {
    promptTokens: sequence.promptTokens,
    completionTokens: sequence.generated,
    cachedTokens: sequence.cachedTokens,
  },
});

/**
 * Ends a step: emits its tokens and starts the next one.
 *
 * @param state - state of the engine during a step
 * @param step - number of the step that is due; ignored if it is not the current one
 * @param environment - time and random numbers
 * @returns the next state, with the effects for new tokens and finished generations
 */
export const handleStepDue = (
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
  const result = finishStep(state.batch, state.settings, now);
  const counted = updateStats(
    { ...state, batch: result.batch },
    {
      tokens: state.stats.tokens + result.emitted.length,
      finished: state.stats.finished + result.finished.length,
      stalledMs: state.stats.stalledMs + result.stalledMs,
    },
  );
  const following = startStep(
    recordCacheChanges(counted, result.changes, environment),
    environment,
  );
  const tokens = result.emitted.map(({ id, generated }) => ({
    sequence: id,
    index: generated - 1,
  }));
  return toStep(
    following.state,
    { kind: 'emit', tokens },
    ...result.finished.map(toFinishEffect),
    ...following.effects,
  );
};
