import { finishNonce, createAnswerRecord, addToAnswerRecord, startNonce } from './answerRecord.js';
import type { AnswerRecordInputs } from './answerRecord.js';
import { buildWorkEnded, toEndpointEffects, formatReaderKey } from './bufferEffects.js';
import { PROGRESS_REPORT_INTERVAL_MS, REFUSED_RESUME_RETENTION_MS, SWEEP_MS } from './constants.js';
import type { Generation, ReaderRegistration, StreamsState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { GenerationId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { decideBuffer, initBuffer } from '../../decisions/streams/buffer.js';
import type {
  BufferEvent,
  BufferLimits,
  ReaderIdentity,
} from '../../decisions/streams/bufferTypes.js';
import type { CallId, EndpointEffect, GenerateCall, StreamsEvent, WorkResult } from '../types.js';

/** Dependencies of the decisions on generations and their readers. */
export interface StreamsInputs extends AnswerRecordInputs {
  readonly limits: BufferLimits;
  readonly choosePriority: (call: GenerateCall) => number;
}

type StreamsStep = Step<StreamsState, EndpointEffect>;

const refuseCall = (call: GenerateCall, failure: Failure): readonly EndpointEffect[] => [
  { kind: 'send-failure', callId: call.callId, failure },
  {
    kind: 'log',
    name: 'work-refused',
    details: {
      requestId: call.requestId,
      received: call.callId,
      data: { code: failure.code, verdict: failure.verdict },
    },
  },
];

const registerReader = (state: StreamsState, call: GenerateCall): ReaderIdentity => {
  const identity = { stream: call.stream, link: call.link };
  const registration: ReaderRegistration = { generationId: call.generationId, ...identity };
  state.readers.set(call.callId, registration);
  state.callIds.set(formatReaderKey(identity), call.callId);
  return identity;
};

const removeReader = (state: StreamsState, callId: CallId): ReaderRegistration | undefined => {
  const reader = state.readers.get(callId);
  if (reader === undefined) return undefined;
  state.readers.delete(callId);
  state.callIds.delete(formatReaderKey(reader));
  return reader;
};

const isRunning = (generation: Generation): boolean => generation.buffer.phase === 'generating';

const applyBuffer = (
  state: StreamsState,
  generation: Generation,
  event: BufferEvent,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const { generationId } = generation.call;
  const step = decideBuffer(generation.buffer, event);
  // A generation that this daemon cancelled has run in part and must not run again.
  const { end } = step.state;
  if (step.effects.some(({ kind }) => kind === 'cancel-engine') && end !== null) {
    finishNonce(generation, end, inputs);
  }
  const next = { ...generation, buffer: step.state };
  state.generations.set(generationId, next);
  if (isRunning(generation) && !isRunning(next)) state.running -= 1;
  return step.effects.flatMap((effect) => toEndpointEffects(state, generationId, effect));
};

const startGeneration = (
  state: StreamsState,
  call: GenerateCall,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  if (state.refusedResumes.has(call.generationId)) {
    const message = 'the start arrived after a resume of the generation was refused';
    return [
      ...refuseCall(call, createFailure('not-run', 'fenced', message)),
      releaseAdmission(call),
    ];
  }
  const refusal = startNonce(call, inputs);
  if (refusal !== null) return [...refuseCall(call, refusal), releaseAdmission(call)];
  const now = inputs.now();
  const orphans = call.nonce === null ? 'cancelled' : 'kept';
  const generation: Generation = {
    call,
    record: createAnswerRecord(call),
    buffer: initBuffer(now, { ...inputs.limits, orphans }),
    startedAt: now,
    firstChunkAt: null,
    lastChunkAt: null,
    chunkCount: 0,
    reportedAt: null,
    reportedCount: 0,
  };
  state.generations.set(call.generationId, generation);
  state.running += 1;
  return [
    {
      kind: 'start-generation',
      generationId: call.generationId,
      call,
      priority: inputs.choosePriority(call),
    },
    {
      kind: 'log',
      name: 'generation-started',
      details: {
        requestId: call.requestId,
        received: `${call.generationId}/${call.link.toString()}`,
        data: { generationId: call.generationId, running: state.running },
      },
    },
    ...openReader(state, generation, call, inputs),
  ];
};

const openReader = (
  state: StreamsState,
  generation: Generation,
  call: GenerateCall,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const now = inputs.now();
  const identity = registerReader(state, call);
  const opened = applyBuffer(
    state,
    generation,
    { kind: 'reader-opened', ...identity, fromNumber: call.resumeFrom, now },
    inputs,
  );
  return [{ kind: 'send-started', callId: call.callId }, ...opened];
};

const openCall = (
  state: StreamsState,
  call: GenerateCall,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const known = state.generations.get(call.generationId);
  if (known !== undefined) {
    const resumed: EndpointEffect = {
      kind: 'log',
      name: 'stream-resumed',
      details: {
        requestId: call.requestId,
        received: `${call.generationId}/${call.link.toString()}`,
        data: { generationId: call.generationId, fromNumber: call.resumeFrom },
      },
    };
    return [resumed, ...openReader(state, known, call, inputs)];
  }
  if (call.mode === 'resume') {
    state.refusedResumes.set(call.generationId, inputs.now());
    const message = `the endpoint daemon no longer holds generation ${call.generationId}`;
    return refuseCall(call, createFailure('may-have-run', 'stream-lost', message));
  }
  return startGeneration(state, call, inputs);
};

/** Reports progress only at intervals, since the limit needs mean gaps, not every token. */
const buildProgressReport = (generation: Generation, now: Millis): EndpointEffect | null => {
  const { call, firstChunkAt, reportedAt, reportedCount, chunkCount } = generation;
  const since = reportedAt ?? firstChunkAt ?? now;
  const tokens = chunkCount - reportedCount;
  if (now - since < PROGRESS_REPORT_INTERVAL_MS || tokens < 1) return null;
  const event = {
    to: 'engine',
    kind: 'tokens-received',
    workId: call.generationId,
    tokens,
    gapMs: (now - since) / tokens,
  } as const;
  return { kind: 'post', event };
};

const addChunks = (
  state: StreamsState,
  event: Extract<StreamsEvent, { readonly kind: 'engine-chunks' }>,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const generation = state.generations.get(event.generationId);
  if (generation === undefined) return [];
  const now = inputs.now();
  if (generation.record !== null) addToAnswerRecord(generation.record, event.choices, inputs);
  const timed: Generation = {
    ...generation,
    firstChunkAt: generation.firstChunkAt ?? now,
    lastChunkAt: now,
    chunkCount: generation.chunkCount + event.choices.length,
  };
  const report = buildProgressReport(timed, now);
  const reported =
    report === null ? timed : { ...timed, reportedAt: now, reportedCount: timed.chunkCount };
  return [
    ...applyBuffer(state, reported, { kind: 'engine-chunks', chunks: event.choices, now }, inputs),
    ...(report === null ? [] : [report]),
  ];
};

const finishGeneration = (
  state: StreamsState,
  event: Extract<StreamsEvent, { readonly kind: 'engine-finished' }>,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const generation = state.generations.get(event.generationId);
  if (generation === undefined || !isRunning(generation)) return [];
  const now = inputs.now();
  finishNonce(generation, { kind: 'finished', usage: event.usage }, inputs);
  return [
    ...applyBuffer(state, generation, { kind: 'engine-finished', usage: event.usage, now }, inputs),
    buildWorkEnded(generation, 'success'),
    {
      kind: 'log',
      name: 'generation-finished',
      details: {
        requestId: generation.call.requestId,
        data: { generationId: event.generationId, chunks: generation.chunkCount },
      },
    },
  ];
};

const toResult = (failure: Failure): WorkResult => {
  if (failure.code === 'bad-request') return 'cancelled';
  return failure.code === 'endpoint-lost' ? 'lost' : 'failure';
};

const failGeneration = (
  state: StreamsState,
  event: Extract<StreamsEvent, { readonly kind: 'engine-failed' }>,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const generation = state.generations.get(event.generationId);
  if (generation === undefined || !isRunning(generation)) return [];
  const { failure } = event;
  const now = inputs.now();
  finishNonce(generation, { kind: 'failed', failure }, inputs);
  const result = toResult(failure);
  return [
    ...applyBuffer(state, generation, { kind: 'engine-failed', failure, now }, inputs),
    buildWorkEnded(generation, result),
    {
      kind: 'log',
      name: 'generation-failed',
      details: {
        requestId: generation.call.requestId,
        data: { generationId: event.generationId, code: failure.code, message: failure.message },
      },
    },
  ];
};

const closeReader = (
  state: StreamsState,
  callId: CallId,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const reader = removeReader(state, callId);
  const generation = reader === undefined ? undefined : state.generations.get(reader.generationId);
  if (reader === undefined || generation === undefined) return [];
  const identity = { stream: reader.stream, link: reader.link };
  const closed = { kind: 'reader-closed', ...identity, now: inputs.now() } as const;
  return applyBuffer(state, generation, closed, inputs);
};

const recordReaderProgress = (
  state: StreamsState,
  event: Extract<StreamsEvent, { readonly kind: 'reader-acknowledged' }>,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const reader = state.readers.get(event.callId);
  const generation = reader === undefined ? undefined : state.generations.get(reader.generationId);
  if (reader === undefined || generation === undefined) return [];
  const identity = { stream: reader.stream, link: reader.link };
  const { nextNumber } = event;
  const progress = {
    kind: 'reader-acknowledged',
    ...identity,
    nextNumber,
    now: inputs.now(),
  } as const;
  return applyBuffer(state, generation, progress, inputs);
};

const cancelGeneration = (
  state: StreamsState,
  generationId: GenerationId,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const generation = state.generations.get(generationId);
  // The caller of a generation that runs at most once may retry with the same key for its answer.
  if (generation === undefined || generation.call.nonce !== null) return [];
  return applyBuffer(state, generation, { kind: 'cancelled', now: inputs.now() }, inputs);
};

/** Releases the admission of a generation that was admitted but not started. */
const releaseAdmission = (call: GenerateCall): EndpointEffect => ({
  kind: 'post',
  event: {
    to: 'engine',
    kind: 'work-ended',
    outcome: {
      workId: call.generationId,
      customer: call.customer,
      route: call.route,
      className: call.className,
      result: 'cancelled',
      firstTokenMs: null,
      tokenGapMsSum: 0,
      tokenGaps: 0,
    },
  },
});

const pruneRefusedResumes = (state: StreamsState, now: Millis): void => {
  for (const [generationId, at] of state.refusedResumes) {
    if (now - at < REFUSED_RESUME_RETENTION_MS) return;
    state.refusedResumes.delete(generationId);
  }
};

const expireGenerations = (
  state: StreamsState,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  const now = inputs.now();
  pruneRefusedResumes(state, now);
  const ticks = [...state.generations.values()].flatMap((generation) =>
    applyBuffer(state, generation, { kind: 'tick', now }, inputs),
  );
  const sweepEvent = { to: 'streams', kind: 'sweep' } as const;
  return [...ticks, { kind: 'schedule', delayMs: SWEEP_MS, event: sweepEvent }];
};

const decideStreams = (
  state: StreamsState,
  event: StreamsEvent,
  inputs: StreamsInputs,
): readonly EndpointEffect[] => {
  switch (event.kind) {
    case 'open':
      return openCall(state, event.call, inputs);
    case 'engine-chunks':
      return addChunks(state, event, inputs);
    case 'engine-finished':
      return finishGeneration(state, event, inputs);
    case 'engine-failed':
      return failGeneration(state, event, inputs);
    case 'reader-acknowledged':
      return recordReaderProgress(state, event, inputs);
    case 'reader-disconnected':
      return closeReader(state, event.callId, inputs);
    case 'cancel':
      return cancelGeneration(state, event.generationId, inputs);
    case 'sweep':
      return expireGenerations(state, inputs);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `streams` child, which starts generations, buffers their chunks
 * and sends them to readers. Its state is lost with the process; readers then receive
 * `stream-lost`.
 *
 * @param inputs - clock, nonces, buffer limits and priorities
 * @returns the child's logic
 */
export const createStreamsLogic = (
  inputs: StreamsInputs,
): ChildLogic<StreamsState, StreamsEvent, EndpointEffect> => ({
  init: (): StreamsStep =>
    toStep<StreamsState, EndpointEffect>(
      {
        generations: new Map(),
        readers: new Map(),
        callIds: new Map(),
        refusedResumes: new Map(),
        running: 0,
      },
      { kind: 'reset-generations' },
      { kind: 'schedule', delayMs: SWEEP_MS, event: { to: 'streams', kind: 'sweep' } },
    ),
  decide: (state, event) => toStep(state, ...decideStreams(state, event, inputs)),
});
