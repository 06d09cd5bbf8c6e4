import { EMPTY_CACHE_LOG } from './cacheLog.js';
import { EMPTY_BATCH, updateStats } from './state.js';
import type { SchedulerStep } from './state.js';
import type { SchedulerEnvironment, SchedulerState } from './types.js';
import { addFault } from '../faults.js';
import type { EngineFault } from '../faults.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import { toStep } from '../../../core/step.js';

/**
 * Restarts the engine cold: without sequences and cache, and with a new warm-up.
 *
 * @param state - state of the engine before the restart
 * @param downMs - time until the warm-up begins
 * @param environment - time and start identities
 * @returns the cold engine, and the effects that close the connections of its lost sequences
 */
export const restartEngine = (
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
    updateStats(restarted, { lost: stats.lost + lost.length, restarts: stats.restarts + 1 }),
    ...lost.map(({ id }) => ({ kind: 'break', sequence: id }) as const),
  );
};

/**
 * Applies a fault to the engine.
 *
 * @param state - state of the engine
 * @param fault - fault to apply
 * @param environment - time and start identities
 * @returns the next state and the effects of the fault
 */
export const applyFault = (
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
