import type {
  BufferEffect,
  BufferEvent,
  BufferLimits,
  BufferState,
  Reader,
  ReaderIdentity,
} from './bufferTypes.js';
import { createChunkRing } from './chunkRing.js';
import {
  BUFFER_MAX_BYTES,
  BUFFER_MAX_CHUNKS,
  LOW_WATERMARK,
  ORPHAN_TIMEOUT_MS,
  HIGH_WATERMARK,
  READER_WINDOW_CHUNKS,
  MAX_REPLACED_STREAMS,
  RETENTION_MS,
  SLOW_READER_TIMEOUT_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

type BufferStep = Step<BufferState, BufferEffect>;

/** Limits of a buffer in production. */
export const DEFAULT_BUFFER_LIMITS: BufferLimits = {
  maxChunks: BUFFER_MAX_CHUNKS,
  maxBytes: BUFFER_MAX_BYTES,
  windowChunks: READER_WINDOW_CHUNKS,
  orphans: 'cancelled',
};

/**
 * Creates the buffer of a generation that starts now.
 *
 * @param now - current instant
 * @param limits - limits of the buffer and of a reader's unacknowledged chunks
 * @returns an empty buffer without a reader
 */
export const initBuffer = (
  now: Millis,
  limits: BufferLimits = DEFAULT_BUFFER_LIMITS,
): BufferState => ({
  limits,
  phase: 'generating',
  flow: 'flowing',
  ring: createChunkRing(),
  reader: null,
  replaced: [],
  end: null,
  idleSince: now,
});

const toIdentity = ({ stream, link }: ReaderIdentity): ReaderIdentity => ({ stream, link });

const isActive = (state: BufferState, event: ReaderIdentity): boolean =>
  state.reader?.stream === event.stream && state.reader.link === event.link;

const buildEnd = (state: BufferState, reader: Reader): readonly BufferEffect[] => {
  if (state.end === null || reader.sent < state.ring.getNext()) return [];
  const identity = toIdentity(reader);
  switch (state.end.kind) {
    case 'finished':
      return [
        {
          kind: 'send-finished',
          ...identity,
          chunkCount: state.ring.getNext(),
          usage: state.end.usage,
        },
      ];
    case 'failed':
      return [{ kind: 'send-failed', ...identity, failure: state.end.failure }];
    default:
      return assertNever(state.end);
  }
};

/** Sends the chunks that the reader's window allows, and the end after the last chunk. */
const sendReady = (state: BufferState, now: Millis): BufferStep => {
  const { reader, ring, limits } = state;
  if (reader === null) return toStep(state);
  const windowLeft = limits.windowChunks - (reader.sent - reader.acknowledged);
  const chunks = windowLeft > 0 ? ring.list(reader.sent, windowLeft) : [];
  if (chunks.length === 0) return toStep(state);
  const sent = reader.sent + chunks.length;
  const lastProgressAt = reader.sent === reader.acknowledged ? now : reader.lastProgressAt;
  const next = { ...reader, sent, lastProgressAt };
  return toStep<BufferState, BufferEffect>(
    { ...state, reader: next },
    { kind: 'send-chunks', ...toIdentity(reader), firstNumber: reader.sent, chunks },
    ...buildEnd(state, next),
  );
};

/** Returns the first chunk number that a reader still needs; only chunks before it are dropped. */
const getFirstNeeded = (state: BufferState): number => {
  if (state.reader !== null) return state.reader.acknowledged;
  if (state.limits.orphans === 'kept') return state.ring.getNext();
  return state.phase === 'generating' ? state.ring.getFirst() : state.ring.getNext();
};

const computeUnreadShare = (state: BufferState): number => {
  const { ring, limits } = state;
  const needed = getFirstNeeded(state);
  const buffered = ring.getNext() - ring.getFirst();
  const unread = ring.getNext() - needed;
  const unreadBytes = buffered === 0 ? 0 : (ring.getBytes() * unread) / buffered;
  return Math.max(unread / limits.maxChunks, unreadBytes / limits.maxBytes);
};

/** Enforces the limits: prunes the ring and pauses the engine while a reader is slow or absent. */
const updateFlow = (step: BufferStep): BufferStep => {
  const { state } = step;
  state.ring.prune(getFirstNeeded(state), state.limits.maxChunks, state.limits.maxBytes);
  if (state.phase !== 'generating') return step;
  const share = computeUnreadShare(state);
  if (state.flow === 'flowing' && share >= HIGH_WATERMARK) {
    return toStep({ ...state, flow: 'paused' }, ...step.effects, { kind: 'pause-engine' });
  }
  if (state.flow === 'paused' && share <= LOW_WATERMARK) {
    return toStep({ ...state, flow: 'flowing' }, ...step.effects, { kind: 'continue-engine' });
  }
  return step;
};

const closeWith = (
  state: BufferState,
  end: BufferState['end'],
  now: Millis,
  ...effects: readonly BufferEffect[]
): BufferStep => {
  const ended: BufferState = { ...state, phase: 'ended', end, idleSince: now };
  const sends = ended.reader === null ? [] : buildEnd(ended, ended.reader);
  return toStep(ended, ...effects, ...sends);
};

const cancelWith = (state: BufferState, failure: Failure, now: Millis): BufferStep =>
  closeWith(state, { kind: 'failed', failure }, now, { kind: 'cancel-engine' });

const isOverLimit = (state: BufferState): boolean => computeUnreadShare(state) > 1;

const addChunks = (
  state: BufferState,
  event: Extract<BufferEvent, { readonly kind: 'engine-chunks' }>,
): BufferStep => {
  if (state.phase !== 'generating') return toStep(state);
  state.ring.append(event.chunks);
  const step = updateFlow(sendReady(state, event.now));
  if (!isOverLimit(step.state)) return step;
  const message = 'the engine sent more than the buffer can hold while its reader was behind';
  const cancelled = cancelWith(
    step.state,
    createFailure('may-have-run', 'stream-lost', message),
    event.now,
  );
  return toStep(cancelled.state, ...step.effects, ...cancelled.effects);
};

type OpenEvent = Extract<BufferEvent, { readonly kind: 'reader-opened' }>;

const refuseReader = (
  event: ReaderIdentity,
  code: 'lost-race' | 'stream-lost',
  message: string,
): BufferEffect => ({
  kind: 'send-failed',
  ...toIdentity(event),
  failure: createFailure('may-have-run', code, message),
});

const REPLACED_MESSAGE = 'a newer reader took over the generation';

const checkOpen = (state: BufferState, event: OpenEvent): BufferEffect | null => {
  const { reader, ring } = state;
  const isOlderLink = reader?.stream === event.stream && event.link <= reader.link;
  if (isOlderLink || state.replaced.includes(event.stream)) {
    return refuseReader(event, 'lost-race', REPLACED_MESSAGE);
  }
  if (event.fromNumber < ring.getFirst()) {
    const first = ring.getFirst().toString();
    const message = `chunk ${event.fromNumber.toString()} is no longer buffered; the first is ${first}`;
    return refuseReader(event, 'stream-lost', message);
  }
  if (event.fromNumber > ring.getNext()) {
    const message = `chunk ${event.fromNumber.toString()} does not exist yet`;
    return refuseReader(event, 'stream-lost', message);
  }
  return null;
};

const openReader = (state: BufferState, event: OpenEvent): BufferStep => {
  const refusal = checkOpen(state, event);
  if (refusal !== null) return toStep(state, refusal);
  const older = state.reader;
  const isTakeover = older !== null && older.stream !== event.stream;
  const replaced = isTakeover
    ? [...state.replaced, older.stream].slice(-MAX_REPLACED_STREAMS)
    : state.replaced;
  const { fromNumber, now } = event;
  const reader = {
    ...toIdentity(event),
    sent: fromNumber,
    acknowledged: fromNumber,
    lastProgressAt: now,
  };
  const opened = { ...state, reader, replaced };
  const step = updateFlow(sendReady(opened, now));
  const notices = isTakeover ? [refuseReader(older, 'lost-race', REPLACED_MESSAGE)] : [];
  const ends = reader.sent === state.ring.getNext() ? buildEnd(state, reader) : [];
  return toStep(step.state, ...notices, ...step.effects, ...ends);
};

const handleAcknowledgement = (
  state: BufferState,
  event: Extract<BufferEvent, { readonly kind: 'reader-acknowledged' }>,
): BufferStep => {
  const { reader } = state;
  if (reader === null || !isActive(state, event)) return toStep(state);
  const acknowledged = Math.min(event.nextNumber, reader.sent);
  if (acknowledged <= reader.acknowledged) return toStep(state);
  const next = { ...state, reader: { ...reader, acknowledged, lastProgressAt: event.now } };
  return updateFlow(sendReady(next, event.now));
};

const closeReader = (state: BufferState, now: Millis): BufferStep =>
  toStep({ ...state, reader: null, idleSince: now });

const isSlow = (reader: Reader, now: Millis): boolean =>
  reader.sent > reader.acknowledged && now - reader.lastProgressAt >= SLOW_READER_TIMEOUT_MS;

const expireRunning = (state: BufferState, now: Millis): BufferStep => {
  if (state.reader === null) {
    if (state.limits.orphans === 'kept') return toStep(state);
    if (now - state.idleSince < ORPHAN_TIMEOUT_MS) return toStep(state);
    const message = `the generation had no reader for ${(now - state.idleSince).toFixed(0)} ms`;
    return cancelWith(state, createFailure('may-have-run', 'cancelled', message), now);
  }
  if (!isSlow(state.reader, now)) return toStep(state);
  const message = `the reader acknowledged no chunk for ${(now - state.reader.lastProgressAt).toFixed(0)} ms`;
  const failure = createFailure('may-have-run', 'stream-lost', message);
  const notice: BufferEffect = { kind: 'send-failed', ...toIdentity(state.reader), failure };
  if (state.limits.orphans === 'kept') {
    const detached = updateFlow(closeReader(state, now));
    return toStep(detached.state, notice, ...detached.effects);
  }
  const cancelled = cancelWith({ ...state, reader: null }, failure, now);
  return toStep(cancelled.state, notice, ...cancelled.effects);
};

const expire = (state: BufferState, now: Millis): BufferStep => {
  switch (state.phase) {
    case 'generating':
      return expireRunning(state, now);
    case 'ended': {
      if (now - state.idleSince < RETENTION_MS) return toStep(state);
      state.ring.clear();
      return toStep<BufferState, BufferEffect>(
        { ...state, phase: 'released', reader: null },
        { kind: 'release' },
      );
    }
    case 'released':
      return toStep(state);
    default:
      return assertNever(state.phase);
  }
};

const closeGeneration = (
  state: BufferState,
  end: NonNullable<BufferState['end']>,
  now: Millis,
): BufferStep => (state.phase === 'generating' ? closeWith(state, end, now) : toStep(state));

/**
 * Handles one event of a generation's buffer. Chunks keep their numbers, the newest reader receives
 * them in order from the number that it requested, and a generation without a reader is cancelled
 * unless `limits.orphans` is `kept`.
 *
 * @param state - buffer before the event; its ring is updated in place
 * @param event - event of the engine, a reader or the clock
 * @returns the next state, and the messages to readers and commands to the engine
 */
export const decideBuffer = (state: BufferState, event: BufferEvent): BufferStep => {
  switch (event.kind) {
    case 'engine-chunks':
      return addChunks(state, event);
    case 'engine-finished':
      return closeGeneration(state, { kind: 'finished', usage: event.usage }, event.now);
    case 'engine-failed':
      return closeGeneration(state, { kind: 'failed', failure: event.failure }, event.now);
    case 'reader-opened':
      return openReader(state, event);
    case 'reader-acknowledged':
      return handleAcknowledgement(state, event);
    case 'reader-closed':
      return isActive(state, event) ? updateFlow(closeReader(state, event.now)) : toStep(state);
    case 'cancelled': {
      if (state.phase !== 'generating') return toStep(state);
      const failure = createFailure('may-have-run', 'cancelled', 'the caller cancelled');
      return cancelWith(state, failure, event.now);
    }
    case 'tick':
      return expire(state, event.now);
    default:
      return assertNever(event);
  }
};
