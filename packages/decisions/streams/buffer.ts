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
  CONTINUE_SHARE,
  ORPHAN_TIMEOUT_MS,
  PAUSE_SHARE,
  READER_WINDOW_CHUNKS,
  REPLACED_STREAMS_KEPT,
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

/** Bounds of a buffer in a running daemon. */
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
 * @param limits - bounds of the buffer and of what a reader may have untaken
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

/** Sends what the reader's window allows, then the end once everything was sent. */
const sendReady = (state: BufferState, now: Millis): BufferStep => {
  const { reader, ring, limits } = state;
  if (reader === null) return toStep(state);
  const room = limits.windowChunks - (reader.sent - reader.taken);
  const chunks = room > 0 ? ring.list(reader.sent, room) : [];
  if (chunks.length === 0) return toStep(state);
  const sent = reader.sent + chunks.length;
  const activeAt = reader.sent === reader.taken ? now : reader.activeAt;
  const next = { ...reader, sent, activeAt };
  return toStep<BufferState, BufferEffect>(
    { ...state, reader: next },
    { kind: 'send-chunks', ...toIdentity(reader), firstNumber: reader.sent, chunks },
    ...buildEnd(state, next),
  );
};

/** Chunks that the next reader or the active one still needs; only those before them are dropped. */
const getNeededFrom = (state: BufferState): number => {
  if (state.reader !== null) return state.reader.taken;
  if (state.limits.orphans === 'kept') return state.ring.getNext();
  return state.phase === 'generating' ? state.ring.getFirst() : state.ring.getNext();
};

const computeUnreadShare = (state: BufferState): number => {
  const { ring, limits } = state;
  const needed = getNeededFrom(state);
  const kept = ring.getNext() - ring.getFirst();
  const unread = ring.getNext() - needed;
  const unreadBytes = kept === 0 ? 0 : (ring.getBytes() * unread) / kept;
  return Math.max(unread / limits.maxChunks, unreadBytes / limits.maxBytes);
};

/** Holds the engine's connection back while a reader is slow or absent, so that the bound holds. */
const updateFlow = (step: BufferStep): BufferStep => {
  const { state } = step;
  state.ring.prune(getNeededFrom(state), state.limits.maxChunks, state.limits.maxBytes);
  if (state.phase !== 'generating') return step;
  const share = computeUnreadShare(state);
  if (state.flow === 'flowing' && share >= PAUSE_SHARE) {
    return toStep({ ...state, flow: 'paused' }, ...step.effects, { kind: 'pause-engine' });
  }
  if (state.flow === 'paused' && share <= CONTINUE_SHARE) {
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

const isOverfull = (state: BufferState): boolean => computeUnreadShare(state) > 1;

const addChunks = (
  state: BufferState,
  event: Extract<BufferEvent, { readonly kind: 'engine-chunks' }>,
): BufferStep => {
  if (state.phase !== 'generating') return toStep(state);
  state.ring.append(event.chunks);
  const step = updateFlow(sendReady(state, event.now));
  if (!isOverfull(step.state)) return step;
  const text = 'the engine sent more than the buffer can hold while its reader was behind';
  const cancelled = cancelWith(
    step.state,
    createFailure('may-have-run', 'stream-lost', text),
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

const REPLACED_TEXT = 'a newer reader took over the generation';

const checkOpening = (state: BufferState, event: OpenEvent): BufferEffect | null => {
  const { reader, ring } = state;
  const isOlderLink = reader?.stream === event.stream && event.link <= reader.link;
  if (isOlderLink || state.replaced.includes(event.stream)) {
    return refuseReader(event, 'lost-race', REPLACED_TEXT);
  }
  if (event.fromNumber < ring.getFirst()) {
    const first = ring.getFirst().toString();
    const text = `chunk ${event.fromNumber.toString()} is no longer kept; the first is ${first}`;
    return refuseReader(event, 'stream-lost', text);
  }
  if (event.fromNumber > ring.getNext()) {
    const text = `chunk ${event.fromNumber.toString()} does not exist yet`;
    return refuseReader(event, 'stream-lost', text);
  }
  return null;
};

const openReader = (state: BufferState, event: OpenEvent): BufferStep => {
  const refusal = checkOpening(state, event);
  if (refusal !== null) return toStep(state, refusal);
  const older = state.reader;
  const isTakeover = older !== null && older.stream !== event.stream;
  const replaced = isTakeover
    ? [...state.replaced, older.stream].slice(-REPLACED_STREAMS_KEPT)
    : state.replaced;
  const { fromNumber, now } = event;
  const reader = { ...toIdentity(event), sent: fromNumber, taken: fromNumber, activeAt: now };
  const opened = { ...state, reader, replaced };
  const step = updateFlow(sendReady(opened, now));
  const notices = isTakeover ? [refuseReader(older, 'lost-race', REPLACED_TEXT)] : [];
  const ends = reader.sent === state.ring.getNext() ? buildEnd(state, reader) : [];
  return toStep(step.state, ...notices, ...step.effects, ...ends);
};

const takeByReader = (
  state: BufferState,
  event: Extract<BufferEvent, { readonly kind: 'reader-took' }>,
): BufferStep => {
  const { reader } = state;
  if (reader === null || !isActive(state, event)) return toStep(state);
  const taken = Math.min(event.nextNumber, reader.sent);
  if (taken <= reader.taken) return toStep(state);
  const next = { ...state, reader: { ...reader, taken, activeAt: event.now } };
  return updateFlow(sendReady(next, event.now));
};

const closeReader = (state: BufferState, now: Millis): BufferStep =>
  toStep({ ...state, reader: null, idleSince: now });

const isSlow = (reader: Reader, now: Millis): boolean =>
  reader.sent > reader.taken && now - reader.activeAt >= SLOW_READER_TIMEOUT_MS;

const expireGenerating = (state: BufferState, now: Millis): BufferStep => {
  if (state.reader === null) {
    if (state.limits.orphans === 'kept') return toStep(state);
    if (now - state.idleSince < ORPHAN_TIMEOUT_MS) return toStep(state);
    const text = `nobody read the generation for ${(now - state.idleSince).toFixed(0)} ms`;
    return cancelWith(state, createFailure('may-have-run', 'cancelled', text), now);
  }
  if (!isSlow(state.reader, now)) return toStep(state);
  const text = `the reader took nothing for ${(now - state.reader.activeAt).toFixed(0)} ms`;
  const failure = createFailure('may-have-run', 'stream-lost', text);
  const notice: BufferEffect = { kind: 'send-failed', ...toIdentity(state.reader), failure };
  if (state.limits.orphans === 'kept') {
    const left = updateFlow(closeReader(state, now));
    return toStep(left.state, notice, ...left.effects);
  }
  const cancelled = cancelWith({ ...state, reader: null }, failure, now);
  return toStep(cancelled.state, notice, ...cancelled.effects);
};

const expire = (state: BufferState, now: Millis): BufferStep => {
  switch (state.phase) {
    case 'generating':
      return expireGenerating(state, now);
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
 * Decides one event of a generation's buffer. Chunks keep their numbers, the newest reader gets
 * them in order from the number it asked for, and a generation that nobody reads is cancelled.
 *
 * @param state - buffer before the event; its ring is updated in place
 * @param event - what the engine, a reader or the clock did
 * @returns the next state and what to send or to tell the engine
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
    case 'reader-took':
      return takeByReader(state, event);
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
