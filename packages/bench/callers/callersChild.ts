import { createLatencyRecorder } from './latencies.js';
import { MAX_REPORTED_FAILURES } from '../constants.js';
import type { BenchEffect, CallerId, CallersEvent, RunPlan, StageRecord } from '../types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

/** Open stream of one caller, updated in place with each arrival. */
interface OpenStream {
  readonly openedAt: Millis;
  tokens: number;
  lastArrivalAt: Millis;
}

/** State of the callers; streams, records and failures are updated in place. */
export interface CallersState {
  readonly openStreams: Map<CallerId, OpenStream>;
  readonly records: readonly StageRecord[];
  readonly failures: string[];
  failed: number;
  finished: number;
  stage: number;
  phase: 'settling' | 'measuring' | 'ending' | 'done';
}

/** Clock and random source of the callers; a test passes its own. */
export interface CallersInputs {
  readonly now: () => Millis;
  readonly random: RandomSource;
}

type Effects = readonly BenchEffect[];

const scheduleCaller = (caller: CallerId, delayMs: Millis): BenchEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'callers', kind: 'caller-due', caller },
});

const startStage = (stage: number, plan: RunPlan, { random }: CallersInputs): Effects => {
  const { callers, rampMs, settleMs } = plan.stages[stage] as RunPlan['stages'][number];
  const firstNewCaller = plan.stages[stage - 1]?.callers ?? 0;
  const startEffects = Array.from({ length: callers - firstNewCaller }, (_, index) =>
    scheduleCaller(firstNewCaller + index, random.next() * rampMs),
  );
  const event = { to: 'callers', kind: 'measure-begun', stage } as const;
  return [...startEffects, { kind: 'schedule', delayMs: rampMs + settleMs, event }];
};

const startMeasurement = (state: CallersState, stage: number, plan: RunPlan): Effects => {
  state.phase = 'measuring';
  state.stage = stage;
  return [
    { kind: 'watch-client', stage, watch: 'begin' },
    { kind: 'post', event: { to: 'samples', kind: 'begun', stage } },
    {
      kind: 'schedule',
      delayMs: plan.stages[stage]?.measureMs ?? 0,
      event: { to: 'callers', kind: 'measure-ended', stage },
    },
  ];
};

const finishWhenIdle = (state: CallersState): Effects => {
  if (state.phase !== 'ending' || state.openStreams.size > 0) return [];
  state.phase = 'done';
  return [{ kind: 'done' }];
};

const finishRun = (state: CallersState, plan: RunPlan): Effects => {
  state.phase = 'ending';
  if (plan.ending === 'abandon-streams') state.openStreams.clear();
  return finishWhenIdle(state);
};

const finishMeasurement = (
  state: CallersState,
  stage: number,
  plan: RunPlan,
  inputs: CallersInputs,
): Effects => {
  state.phase = 'settling';
  const stopEffects: Effects = [
    { kind: 'watch-client', stage, watch: 'end' },
    { kind: 'post', event: { to: 'samples', kind: 'ended', stage } },
  ];
  const isLast = stage + 1 === plan.stages.length;
  return [
    ...stopEffects,
    ...(isLast ? finishRun(state, plan) : startStage(stage + 1, plan, inputs)),
  ];
};

const openStream = (state: CallersState, caller: CallerId, inputs: CallersInputs): Effects => {
  if (state.phase === 'ending' || state.phase === 'done') return [];
  const openedAt = inputs.now();
  state.openStreams.set(caller, { openedAt, tokens: 0, lastArrivalAt: openedAt });
  return [{ kind: 'open-stream', caller }];
};

/**
 * Records the tokens of one arrival. Tokens that arrive together count as one gap before the first
 * and gaps of 0 between them; events after the last token are the end of the answer.
 */
const recordArrival = (
  state: CallersState,
  event: Extract<CallersEvent, { readonly kind: 'events-arrived' }>,
  plan: RunPlan,
): void => {
  const stream = state.openStreams.get(event.caller);
  if (stream === undefined) return;
  const count = Math.min(event.count, plan.tokens - stream.tokens);
  if (count <= 0) return;
  const record = state.records[state.stage];
  if (state.phase === 'measuring' && record !== undefined) {
    const elapsedMs = event.at - stream.lastArrivalAt;
    if (stream.tokens === 0) record.firstTokens.record(elapsedMs);
    else record.gaps.record(elapsedMs);
    for (let index = 1; index < count; index += 1) record.gaps.record(0);
    record.tokens += count;
  }
  stream.tokens += count;
  stream.lastArrivalAt = event.at;
};

const closeStream = (
  state: CallersState,
  event: Extract<CallersEvent, { readonly kind: 'stream-ended' }>,
  plan: RunPlan,
  inputs: CallersInputs,
): Effects => {
  const stream = state.openStreams.get(event.caller);
  if (stream === undefined) return [];
  state.openStreams.delete(event.caller);
  const isComplete = event.end.kind === 'whole' && stream.tokens === plan.tokens;
  if (isComplete) state.finished += 1;
  else {
    state.failed += 1;
    const reason = event.end.kind === 'failed' ? event.end.reason : 'the answer is too short';
    const failure = `caller ${event.caller.toString()} after ${stream.tokens.toString()} tokens: ${reason}`;
    if (state.failures.length < MAX_REPORTED_FAILURES) state.failures.push(failure);
  }
  if (state.phase === 'ending') return finishWhenIdle(state);
  return [scheduleCaller(event.caller, inputs.random.next() * plan.maxPauseMs)];
};

const decideCallers = (
  state: CallersState,
  event: CallersEvent,
  plan: RunPlan,
  inputs: CallersInputs,
): Effects => {
  switch (event.kind) {
    case 'caller-due':
      return openStream(state, event.caller, inputs);
    case 'events-arrived':
      recordArrival(state, event, plan);
      return [];
    case 'stream-ended':
      return closeStream(state, event, plan, inputs);
    case 'measure-begun':
      return startMeasurement(state, event.stage, plan);
    case 'measure-ended':
      return finishMeasurement(state, event.stage, plan, inputs);
    default:
      return assertNever(event);
  }
};

const createRecord = (): StageRecord => ({
  firstTokens: createLatencyRecorder(),
  gaps: createLatencyRecorder(),
  tokens: 0,
});

/**
 * Creates the child that decides when callers send requests, and records the latencies of the
 * tokens that they receive.
 *
 * @param plan - stages, answer length and pauses
 * @param inputs - clock and random source
 * @returns the logic of the child
 */
export const createCallersChild = (
  plan: RunPlan,
  inputs: CallersInputs,
): ChildLogic<CallersState, CallersEvent, BenchEffect> => ({
  init: () =>
    toStep<CallersState, BenchEffect>(
      {
        openStreams: new Map(),
        records: plan.stages.map(createRecord),
        failures: [],
        failed: 0,
        finished: 0,
        stage: 0,
        phase: 'settling',
      },
      ...startStage(0, plan, inputs),
    ),
  decide: (state, event) => toStep(state, ...decideCallers(state, event, plan, inputs)),
});
