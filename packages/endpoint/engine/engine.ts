import { ENGINE_POLL_MS } from './constants.js';
import { addOutcome } from './evidence.js';
import type { SlowThresholds } from './evidence.js';
import { applyCacheEvents, createCachedPrefixes } from './cachedPrefixes.js';
import type { EngineState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { VersionName } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { decideAdmit } from '../../decisions/admission/decideAdmit.js';
import { createAdmissionState, decideLimit } from '../../decisions/admission/decideLimit.js';
import type {
  AdmissionContext,
  AdmissionEffect,
  AdmissionEvent,
  AdmissionRequest,
  EngineMemory,
} from '../../decisions/admission/types.js';
import type { ClassTargets } from '../../decisions/placement/types.js';
import type { SurvivalTable } from '../../decisions/survival/survivalTable.js';
import type {
  EndpointEffect,
  EngineEvent,
  EngineHealth,
  EngineLoad,
  GenerateCall,
  ServiceCall,
  WorkOutcome,
  WorkResult,
} from '../types.js';

/** Dependencies of the decisions on admission. */
export interface EngineInputs {
  readonly now: () => Millis;
  readonly target: 'model' | 'service';
  readonly version: VersionName;
  /**
   * Returns the settings of the limit; the accepted gap follows from the class targets in force.
   */
  readonly getAdmissionSettings: () => AdmissionContext['settings'];
  /** Estimates of output lengths, learned from this endpoint's own generations. */
  readonly survival: SurvivalTable;
  readonly findTargets: (className: string, importance: string) => ClassTargets;
  readonly findThresholds: (className: string) => SlowThresholds | undefined;
}

type EngineStep = Step<EngineState, EndpointEffect>;

const NEXT_POLL: EndpointEffect = {
  kind: 'schedule',
  delayMs: ENGINE_POLL_MS,
  event: { to: 'engine', kind: 'poll' },
};

const toContext = (inputs: EngineInputs): AdmissionContext => ({
  settings: inputs.getAdmissionSettings(),
  survival: inputs.survival,
});

const toEndpointEffects = (effect: AdmissionEffect): readonly EndpointEffect[] => {
  switch (effect.kind) {
    case 'limit-changed': {
      const { limit, phase, cause } = effect;
      return [{ kind: 'log', name: 'limit-changed', details: { data: { limit, phase, cause } } }];
    }
    case 'read-load':
      return [{ kind: 'fetch-health' }];
    case 'sequences-lost':
      return [
        {
          kind: 'log',
          name: 'engine-restarted',
          details: { data: { lost: effect.requestIds.length } },
        },
      ];
    default:
      return assertNever(effect);
  }
};

const applyAdmission = (
  state: EngineState,
  event: AdmissionEvent,
  inputs: EngineInputs,
): EngineStep => {
  const step = decideLimit(state.admission, event, toContext(inputs));
  const effects = step.effects.flatMap(toEndpointEffects);
  return toStep({ ...state, admission: step.state }, ...effects);
};

const applyLoad = (state: EngineState, load: EngineLoad, inputs: EngineInputs): EngineStep =>
  toStep({ ...state, load, loadMeasuredAt: inputs.now() - load.ageMs });

/**
 * Ignores figures of an earlier start of the engine, which the lagging load page may still show.
 */
const getMemory = (state: EngineState, startId: string): EngineMemory => {
  const { load } = state;
  const isCurrent = load?.startId === startId;
  return {
    usedTokens: isCurrent ? load.memoryUsedTokens : 0,
    totalTokens: load?.memoryTotalTokens ?? 0,
    tokensPerSecond: isCurrent ? load.tokensPerSecond : 0,
    preemptions: isCurrent ? load.preemptions : 0,
  };
};

const isReady = (state: EngineState, health: EngineHealth, inputs: EngineInputs): boolean =>
  health.status === 'ready' && (inputs.target === 'service' || state.load !== null);

const applyHealth = (
  state: EngineState,
  event: Extract<EngineEvent, { readonly kind: 'health-received' }>,
  inputs: EngineInputs,
): EngineStep => {
  const { health, requestedAt } = event;
  const now = inputs.now();
  const next = { ...state, reachability: 'reached', health } as const;
  if (!isReady(next, health, inputs)) {
    return removeProbes(applyAdmission(next, { kind: 'engine-unreachable', now }, inputs));
  }
  return applyAdmission(
    next,
    {
      kind: 'load-read',
      identity: health.startId,
      memory: getMemory(next, health.startId),
      generated: state.generatedTokens,
      requestedAt,
      now,
    },
    inputs,
  );
};

/**
 * Drops immediate health requests. The next poll sends one anyway, and an immediate request would
 * turn an outage into a busy loop.
 */
const removeProbes = (step: EngineStep): EngineStep => ({
  state: step.state,
  effects: step.effects.filter(({ kind }) => kind !== 'fetch-health'),
});

const applyUnreachable = (state: EngineState, reason: string, inputs: EngineInputs): EngineStep => {
  const step = removeProbes(
    applyAdmission(
      { ...state, reachability: 'unreachable', health: null },
      { kind: 'engine-unreachable', now: inputs.now() },
      inputs,
    ),
  );
  if (state.reachability === 'unreachable') return step;
  return toStep(step.state, ...step.effects, {
    kind: 'log',
    name: 'engine-unreachable',
    details: { data: { reason } },
  });
};

const checkReady = (state: EngineState): Failure | null => {
  if (state.reachability === 'reached' && state.health?.status === 'ready') return null;
  return createFailure('not-run', 'overloaded', 'the endpoint is not ready', ENGINE_POLL_MS);
};

const admitWork = (
  state: EngineState,
  request: AdmissionRequest,
  inputs: EngineInputs,
): { readonly failure: Failure } | EngineStep => {
  const notReady = checkReady(state);
  if (notReady !== null) return { failure: notReady };
  const decision = decideAdmit(state.admission, request, toContext(inputs));
  switch (decision.kind) {
    case 'refuse':
      return { failure: decision.failure };
    case 'admit':
      return applyAdmission(state, { kind: 'admitted', request, now: inputs.now() }, inputs);
    default:
      return assertNever(decision);
  }
};

const logRefusal = (call: GenerateCall | ServiceCall, failure: Failure): EndpointEffect => ({
  kind: 'log',
  name: 'work-refused',
  details: { requestId: call.requestId, data: { code: failure.code, message: failure.message } },
});

const admitGeneration = (
  state: EngineState,
  call: GenerateCall,
  inputs: EngineInputs,
): EngineStep => {
  const request: AdmissionRequest = {
    requestId: call.generationId,
    targets: inputs.findTargets(call.className, call.importance),
    customer: call.customer,
    version: inputs.version,
    promptTokens: call.promptTokens,
  };
  const outcome = admitWork(state, request, inputs);
  if ('failure' in outcome) {
    const { failure } = outcome;
    const refused: EndpointEffect = { kind: 'send-failure', callId: call.callId, failure };
    return toStep(state, refused, logRefusal(call, failure));
  }
  return toStep(outcome.state, ...outcome.effects, {
    kind: 'post',
    event: { to: 'streams', kind: 'open', call },
  });
};

const admitCall = (state: EngineState, call: ServiceCall, inputs: EngineInputs): EngineStep => {
  const request: AdmissionRequest = {
    requestId: call.callId,
    targets: inputs.findTargets(call.className, call.importance),
    customer: call.customer,
    version: inputs.version,
    promptTokens: 0,
  };
  const outcome = admitWork(state, request, inputs);
  if ('failure' in outcome) {
    const { failure } = outcome;
    const refused: EndpointEffect = { kind: 'reply-failure', callId: call.callId, failure };
    return toStep(state, refused, logRefusal(call, failure));
  }
  return toStep(outcome.state, ...outcome.effects, {
    kind: 'post',
    event: { to: 'calls', kind: 'open', call },
  });
};

/** An error response shows that the engine is running; only a broken connection may be a crash. */
const toEndReason = (result: WorkResult): 'finished' | 'cancelled' | 'engine-failed' => {
  switch (result) {
    case 'success':
      return 'finished';
    case 'lost':
      return 'engine-failed';
    case 'failure':
    case 'cancelled':
      return 'cancelled';
    default:
      return assertNever(result);
  }
};

const observeLength = (outcome: WorkOutcome, inputs: EngineInputs): void => {
  if (inputs.target === 'service') return;
  const key = {
    className: outcome.className,
    customer: outcome.customer,
    version: inputs.version,
  };
  const tokens = outcome.tokenGaps + (outcome.firstTokenMs === null ? 0 : 1);
  if (outcome.result === 'success') inputs.survival.observeFinished(key, tokens);
  else inputs.survival.observeCensored(key, tokens);
};

const finishWork = (state: EngineState, outcome: WorkOutcome, inputs: EngineInputs): EngineStep => {
  observeLength(outcome, inputs);
  state.generatedTokens.delete(outcome.workId);
  const thresholds = inputs.findThresholds(outcome.className);
  return applyAdmission(
    { ...state, evidence: addOutcome(state.evidence, outcome, thresholds) },
    {
      kind: 'sequence-ended',
      requestId: outcome.workId,
      reason: toEndReason(outcome.result),
      now: inputs.now(),
    },
    inputs,
  );
};

const applyTokens = (
  state: EngineState,
  event: Extract<EngineEvent, { readonly kind: 'tokens-received' }>,
  inputs: EngineInputs,
): EngineStep => {
  const { workId, tokens, gapMs } = event;
  state.generatedTokens.set(workId, (state.generatedTokens.get(workId) ?? 0) + tokens);
  return applyAdmission(
    state,
    { kind: 'tokens-received', requestId: workId, tokens, gapMs, now: inputs.now() },
    inputs,
  );
};

const probeEngine = (state: EngineState, inputs: EngineInputs): EngineStep => {
  if (inputs.target === 'service') return toStep(state, { kind: 'fetch-health' }, NEXT_POLL);
  return toStep<EngineState, EndpointEffect>(
    state,
    { kind: 'fetch-health' },
    { kind: 'fetch-load' },
    { kind: 'fetch-cache-events', from: state.cachedPrefixes.next },
    NEXT_POLL,
  );
};

/**
 * Restarts the ramp when the data centre is back in use, since the endpoint's cache may be cold.
 */
const restartRamp = (state: EngineState, inputs: EngineInputs): EngineStep => {
  const admission = { ...createAdmissionState(inputs.now()), running: state.admission.running };
  return toStep({ ...state, admission }, { kind: 'fetch-health' });
};

const decideEngine = (state: EngineState, event: EngineEvent, inputs: EngineInputs): EngineStep => {
  switch (event.kind) {
    case 'poll':
      return probeEngine(state, inputs);
    case 'health-received':
      return applyHealth(state, event, inputs);
    case 'health-failed':
      return applyUnreachable(state, event.reason, inputs);
    case 'load-received':
      return applyLoad(state, event.load, inputs);
    case 'cache-events-received':
      return toStep({
        ...state,
        cachedPrefixes: applyCacheEvents(state.cachedPrefixes, event.events, event.next),
      });
    case 'admit-generation':
      return admitGeneration(state, event.call, inputs);
    case 'admit-call':
      return admitCall(state, event.call, inputs);
    case 'tokens-received':
      return applyTokens(state, event, inputs);
    case 'work-ended':
      return finishWork(state, event.outcome, inputs);
    case 'restart-ramp':
      return restartRamp(state, inputs);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `engine` child, which tracks the state of the endpoint and
 * limits the work admitted to it.
 *
 * @param inputs - clock, admission settings, length estimates and class targets
 * @returns the child's logic
 */
export const createEngineLogic = (
  inputs: EngineInputs,
): ChildLogic<EngineState, EngineEvent, EndpointEffect> => ({
  init: () =>
    toStep<EngineState, EndpointEffect>(
      {
        reachability: 'unknown',
        health: null,
        load: null,
        loadMeasuredAt: 0,
        admission: createAdmissionState(inputs.now()),
        generatedTokens: new Map(),
        cachedPrefixes: createCachedPrefixes(),
        evidence: new Map(),
      },
      { kind: 'post', event: { to: 'engine', kind: 'poll' } },
    ),
  decide: (state, event) => decideEngine(state, event, inputs),
});
