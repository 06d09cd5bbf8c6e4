import { RESUME_BACKOFF_FIRST_MS, RESUME_BACKOFF_MAX_MS, RESUME_TIMEOUT_MS } from './constants.js';
import type {
  Chunk,
  DeliveryEffect,
  DeliveryEvent,
  DeliveryMode,
  DeliveryState,
  GenerationSource,
  HeldChunks,
  LinkIdentity,
} from './types.js';
import { createStreamLostFailure, mergeVerdicts } from './verdicts.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

type DeliveryStep = Step<DeliveryState, DeliveryEffect>;

/** State of a stream with a generation that may still send chunks. */
type AttachedState = DeliveryState & { readonly source: GenerationSource };

/**
 * Creates the stream of a new request.
 *
 * @param delivery - whether chunks are written as they arrive or all together
 * @returns a state before its first attempt
 */
export const initDelivery = (delivery: DeliveryMode): DeliveryState => ({
  delivery,
  origin: 'fresh',
  phase: 'idle',
  source: null,
  link: 0,
  next: 0,
  written: 0,
  held: null,
  outage: null,
  verdict: 'not-run',
});

/**
 * Resumes a stream that another entry daemon started, from the caller's resume ticket.
 *
 * @param source - generation, endpoint and incarnation of the ticket
 * @param fromNumber - first chunk number that the caller has not received
 * @returns the state, and the resume request to the ticket's endpoint
 */
export const resumeDelivery = (source: GenerationSource, fromNumber: number): DeliveryStep =>
  toStep(
    {
      ...initDelivery('incremental'),
      origin: 'resumed',
      phase: 'receiving',
      source,
      next: fromNumber,
      written: fromNumber,
      verdict: 'may-have-run',
    },
    { kind: 'resume', source, fromNumber, link: 0 },
  );

const listHeld = (held: HeldChunks | null): readonly Chunk[] => {
  const batches: (readonly Chunk[])[] = [];
  for (let entry = held; entry !== null; entry = entry.earlier) batches.push(entry.batch);
  return batches.reverse().flat();
};

const isAttached = (state: DeliveryState): state is AttachedState =>
  state.source !== null && (state.phase === 'receiving' || state.phase === 'waiting');

const isCurrentGeneration = (state: DeliveryState, event: LinkIdentity): state is AttachedState =>
  isAttached(state) && state.source.generationId === event.generationId;

const isCurrentLink = (state: DeliveryState, event: LinkIdentity): state is AttachedState =>
  isCurrentGeneration(state, event) && state.link === event.link;

const isRestartable = (state: DeliveryState): boolean =>
  state.written === 0 && state.origin === 'fresh';

const closeWith = (state: DeliveryState, ...effects: readonly DeliveryEffect[]): DeliveryStep =>
  toStep({ ...state, phase: 'ended', held: null }, ...effects);

/** The `not-run` of a refused resume does not prove that the generation never started. */
const resolveFailure = (state: AttachedState, failure: Failure): Failure => {
  const isFirstAnswer = state.link === 0 && state.next === 0;
  const verdict = isFirstAnswer ? failure.verdict : mergeVerdicts('may-have-run', failure.verdict);
  return { ...failure, verdict };
};

const failGeneration = (state: AttachedState, failure: Failure): DeliveryStep => {
  const cancels: readonly DeliveryEffect[] =
    failure.verdict === 'may-have-run' ? [{ kind: 'cancel-generation', source: state.source }] : [];
  if (!isRestartable(state)) {
    const lost = createStreamLostFailure(state.source, failure.message);
    return closeWith(state, ...cancels, { kind: 'fail', failure: lost });
  }
  const verdict = mergeVerdicts(state.verdict, failure.verdict);
  return toStep<DeliveryState, DeliveryEffect>(
    { ...initDelivery(state.delivery), verdict },
    ...cancels,
    { kind: 'restart-allowed', failure: { ...failure, verdict } },
  );
};

const resumeLink = (state: AttachedState, nextOutage: DeliveryState['outage']): DeliveryStep => {
  const link = state.link + 1;
  return toStep<DeliveryState, DeliveryEffect>(
    { ...state, phase: 'receiving', link, outage: nextOutage },
    { kind: 'resume', source: state.source, fromNumber: state.next, link },
  );
};

/**
 * `lost-race` means that the caller resumed at another entry daemon, or that the request of an
 * older link arrived late. The stream ends with a ticket in both cases: a caller that is still
 * connected here resumes the generation with it.
 */
const failLink = (state: AttachedState, failure: Failure): DeliveryStep =>
  failure.code === 'lost-race' && state.delivery === 'incremental'
    ? closeWith(state, { kind: 'hand-over', source: state.source, fromNumber: state.written })
    : failGeneration(state, resolveFailure(state, failure));

const computeBackoff = (resumes: number): Millis =>
  Math.min(RESUME_BACKOFF_MAX_MS, RESUME_BACKOFF_FIRST_MS * 2 ** (resumes - 1));

const handleLinkLoss = (state: AttachedState, now: Millis): DeliveryStep => {
  if (state.phase === 'waiting') return toStep(state);
  const since = state.outage?.since ?? now;
  const resumes = state.outage?.resumes ?? 0;
  if (now - since >= RESUME_TIMEOUT_MS) {
    const message = `no progress at endpoint ${state.source.endpoint} for ${(now - since).toFixed(0)} ms`;
    return failGeneration(state, createFailure('may-have-run', 'endpoint-lost', message));
  }
  if (resumes === 0) return resumeLink(state, { since, resumes: 1 });
  return toStep<DeliveryState, DeliveryEffect>(
    { ...state, phase: 'waiting', outage: { since, resumes } },
    {
      kind: 'schedule-resume',
      generationId: state.source.generationId,
      link: state.link,
      delayMs: computeBackoff(resumes),
    },
  );
};

const startAttempt = (state: DeliveryState, source: GenerationSource): DeliveryStep => {
  if (state.phase === 'ended' || !isRestartable(state)) {
    return toStep(state, { kind: 'cancel-generation', source });
  }
  const fresh = { ...initDelivery(state.delivery), phase: 'receiving', source } as const;
  if (!isAttached(state)) return toStep({ ...fresh, verdict: state.verdict });
  if (state.source.generationId === source.generationId) return toStep(state);
  return toStep<DeliveryState, DeliveryEffect>(
    { ...fresh, verdict: mergeVerdicts(state.verdict, 'may-have-run') },
    { kind: 'cancel-generation', source: state.source },
  );
};

const receiveChunks = (
  state: AttachedState,
  event: Extract<DeliveryEvent, { readonly kind: 'chunks' }>,
): DeliveryStep => {
  if (event.firstNumber > state.next) {
    return event.link === state.link ? handleLinkLoss(state, event.now) : toStep(state);
  }
  const fresh = event.chunks.slice(state.next - event.firstNumber);
  if (fresh.length === 0) return toStep(state);
  const next = state.next + fresh.length;
  const received = { ...state, next, outage: null };
  if (state.delivery === 'whole') {
    return toStep({ ...received, held: { batch: fresh, earlier: state.held } });
  }
  return toStep<DeliveryState, DeliveryEffect>(
    { ...received, written: next },
    { kind: 'write-chunks', source: state.source, fromNumber: state.next, chunks: fresh },
  );
};

const finishDelivery = (
  state: AttachedState,
  event: Extract<DeliveryEvent, { readonly kind: 'finished' }>,
): DeliveryStep => {
  const { chunkCount, usage } = event;
  if (chunkCount > state.next) {
    return event.link === state.link ? handleLinkLoss(state, event.now) : toStep(state);
  }
  if (chunkCount < state.next) {
    const message = `it ended at ${chunkCount.toString()} chunks after ${state.next.toString()} were received`;
    return failGeneration(state, createFailure('ran', 'endpoint-failed', message));
  }
  const held = listHeld(state.held);
  const writes: readonly DeliveryEffect[] =
    held.length === 0
      ? []
      : [{ kind: 'write-chunks', source: state.source, fromNumber: state.written, chunks: held }];
  const ended = { ...state, written: state.next };
  return closeWith(ended, ...writes, { kind: 'finish', chunkCount, usage });
};

const handleAttemptsEnded = (state: DeliveryState, failure: Failure): DeliveryStep => {
  if (state.phase !== 'idle') return toStep(state);
  const verdict = mergeVerdicts(state.verdict, failure.verdict);
  return closeWith(state, { kind: 'fail', failure: { ...failure, verdict } });
};

/** Detaches a stream that its ticket can resume; any other has no reader left and is cancelled. */
const handleCallerDisconnect = (state: DeliveryState): DeliveryStep => {
  if (!isAttached(state)) return closeWith(state);
  const kind = isRestartable(state) ? 'cancel-generation' : 'detach';
  return closeWith(state, { kind, source: state.source });
};

const handleDrainEnd = (state: DeliveryState): DeliveryStep => {
  if (!isAttached(state) || state.delivery === 'whole') return toStep(state);
  const { source, written } = state;
  return closeWith(
    state,
    { kind: 'hand-over', source, fromNumber: written },
    { kind: 'detach', source },
  );
};

const handleLinkOpened = (state: AttachedState): DeliveryStep =>
  toStep({
    ...state,
    outage: state.outage === null ? null : { ...state.outage, since: null },
  });

const handleEndpointGone = (
  state: DeliveryState,
  event: Extract<DeliveryEvent, { readonly kind: 'endpoint-gone' }>,
): DeliveryStep => {
  if (!isAttached(state)) return toStep(state);
  const { endpoint, incarnation } = state.source;
  if (endpoint !== event.endpoint || incarnation !== event.incarnation) return toStep(state);
  const message = `endpoint ${endpoint} is gone`;
  return failGeneration(state, createFailure('may-have-run', 'endpoint-lost', message));
};

/**
 * Handles one event of a caller's stream. Each chunk number is written once and in order, from a
 * single generation; late, repeated and misdirected answers are ignored.
 *
 * @param state - stream before the event
 * @param event - event, with the link on which it arrived
 * @returns the next state and the writes, resumes, restarts and cancellations to carry out
 */
export const decideDelivery = (state: DeliveryState, event: DeliveryEvent): DeliveryStep => {
  switch (event.kind) {
    case 'attempt-started':
      return startAttempt(state, event.source);
    case 'link-opened':
      return isCurrentLink(state, event) ? handleLinkOpened(state) : toStep(state);
    case 'chunks':
      return isCurrentGeneration(state, event) ? receiveChunks(state, event) : toStep(state);
    case 'finished':
      return isCurrentGeneration(state, event) ? finishDelivery(state, event) : toStep(state);
    case 'failed':
      return isCurrentLink(state, event) ? failLink(state, event.failure) : toStep(state);
    case 'link-lost':
    case 'link-stalled':
      return isCurrentLink(state, event) ? handleLinkLoss(state, event.now) : toStep(state);
    case 'resume-timer':
      return isCurrentLink(state, event) && state.phase === 'waiting'
        ? resumeLink(state, {
            since: state.outage?.since ?? event.now,
            resumes: (state.outage?.resumes ?? 0) + 1,
          })
        : toStep(state);
    case 'endpoint-gone':
      return handleEndpointGone(state, event);
    case 'attempts-ended':
      return handleAttemptsEnded(state, event.failure);
    case 'drain-ended':
      return handleDrainEnd(state);
    case 'caller-disconnected':
      return handleCallerDisconnect(state);
    default:
      return assertNever(event);
  }
};
