import { createLatencyRecorder } from './latencies.js';
import { FAILURES_KEPT } from '../constants.js';
import type { BenchEffect, CallerId, CallersEvent, RunPlan, StageRecord } from '../types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

/** Stream of one caller, updated in place with each arrival. */
interface OpenStream {
  readonly openedAt: Millis;
  tokens: number;
  lastAt: Millis;
}

/** What the callers did so far; the tables are updated in place. */
export interface CallersState {
  readonly open: Map<CallerId, OpenStream>;
  readonly records: readonly StageRecord[];
  readonly failures: string[];
  failed: number;
  finished: number;
  stage: number;
  phase: 'settling' | 'measuring' | 'ending' | 'done';
}

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
  const first = plan.stages[stage - 1]?.callers ?? 0;
  const starts = Array.from({ length: callers - first }, (_, index) =>
    scheduleCaller(first + index, random.next() * rampMs),
  );
  const event = { to: 'callers', kind: 'measure-begun', stage } as const;
  return [...starts, { kind: 'schedule', delayMs: rampMs + settleMs, event }];
};

const startMeasure = (state: CallersState, stage: number, plan: RunPlan): Effects => {
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

const closeWhenIdle = (state: CallersState): Effects => {
  if (state.phase !== 'ending' || state.open.size > 0) return [];
  state.phase = 'done';
  return [{ kind: 'done' }];
};

const finishRun = (state: CallersState, plan: RunPlan): Effects => {
  state.phase = 'ending';
  if (plan.ending === 'abandon-streams') state.open.clear();
  return closeWhenIdle(state);
};

const finishMeasure = (
  state: CallersState,
  stage: number,
  plan: RunPlan,
  inputs: CallersInputs,
): Effects => {
  state.phase = 'settling';
  const ended: Effects = [
    { kind: 'watch-client', stage, watch: 'end' },
    { kind: 'post', event: { to: 'samples', kind: 'ended', stage } },
  ];
  const isLast = stage + 1 === plan.stages.length;
  return [...ended, ...(isLast ? finishRun(state, plan) : startStage(stage + 1, plan, inputs))];
};

const openStream = (state: CallersState, caller: CallerId, inputs: CallersInputs): Effects => {
  if (state.phase === 'ending' || state.phase === 'done') return [];
  const openedAt = inputs.now();
  state.open.set(caller, { openedAt, tokens: 0, lastAt: openedAt });
  return [{ kind: 'open-stream', caller }];
};

/**
 * Records the tokens of one arrival. Tokens that arrive together have one gap before the first and
 * none between them; events after the last token are the end of the answer.
 */
const recordArrival = (
  state: CallersState,
  event: Extract<CallersEvent, { readonly kind: 'events-arrived' }>,
  plan: RunPlan,
): void => {
  const stream = state.open.get(event.caller);
  if (stream === undefined) return;
  const count = Math.min(event.count, plan.tokens - stream.tokens);
  if (count <= 0) return;
  const record = state.records[state.stage];
  if (state.phase === 'measuring' && record !== undefined) {
    const sinceLast = event.at - stream.lastAt;
    if (stream.tokens === 0) record.firstTokens.record(sinceLast);
    else record.gaps.record(sinceLast);
    for (let index = 1; index < count; index += 1) record.gaps.record(0);
    record.tokens += count;
  }
  stream.tokens += count;
  stream.lastAt = event.at;
};

const closeStream = (
  state: CallersState,
  event: Extract<CallersEvent, { readonly kind: 'stream-ended' }>,
  plan: RunPlan,
  inputs: CallersInputs,
): Effects => {
  const stream = state.open.get(event.caller);
  if (stream === undefined) return [];
  state.open.delete(event.caller);
  const isWhole = event.end.kind === 'whole' && stream.tokens === plan.tokens;
  if (isWhole) state.finished += 1;
  else {
    state.failed += 1;
    const reason = event.end.kind === 'failed' ? event.end.reason : 'the answer is too short';
    const text = `caller ${event.caller.toString()} after ${stream.tokens.toString()} tokens: ${reason}`;
    if (state.failures.length < FAILURES_KEPT) state.failures.push(text);
  }
  if (state.phase === 'ending') return closeWhenIdle(state);
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
      return startMeasure(state, event.stage, plan);
    case 'measure-ended':
      return finishMeasure(state, event.stage, plan, inputs);
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
 * Creates the child that decides when callers ask, and records what they receive.
 *
 * @param plan - stages, lengths and pauses
 * @param inputs - clock and chance
 * @returns the decisions of the child
 */
export const createCallersChild = (
  plan: RunPlan,
  inputs: CallersInputs,
): ChildLogic<CallersState, CallersEvent, BenchEffect> => ({
  init: () =>
    toStep<CallersState, BenchEffect>(
      {
        open: new Map(),
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
