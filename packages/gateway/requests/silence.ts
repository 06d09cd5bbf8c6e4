import { removeAttempt } from './answerMemory.js';
import { CONTINUATION_OVERLAP_MS, STALL_RECHECK_MS, TRANSFER_RETRY_MS } from './constants.js';
import { endAttempt } from './retrying.js';
import { stopRun } from './runStops.js';
import type { AttemptEnd } from './attemptEnds.js';
import { computeStallTimeout } from './stallTimeout.js';
import { findStop } from './stopState.js';
import { describeSilence, stopAndContinue } from './streamContinuations.js';
import { isWithinNotice, waitForTransfer } from './transferTurns.js';
import { transferAtOnce } from './transferStarts.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { GatewayEffect } from '../effects.js';

const scheduleStallCheck = (
  { request }: Forwarding,
  attempt: Attempt,
  delayMs: Millis,
): GatewayEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'requests', kind: 'stall-check-due', key: request.key, attempt: attempt.number },
});

/**
 * Schedules the end of the overlap when a continuation is sent. The overlap does not count the time
 * for connecting, in which the endpoint can neither refuse nor run the request.
 *
 * @param forwarding - request
 * @param continuation - attempt that is about to be sent
 * @returns effects; none unless a silent endpoint keeps its attempt meanwhile
 */
export const startOverlap = ({ attempts, request }: Forwarding, continuation: Attempt): Effects => {
  if (continuation.permit.purpose !== 'continuation') return [];
  return [...attempts.values()]
    .filter((attempt) => attempt !== continuation)
    .map(({ number }) => ({
      kind: 'schedule',
      delayMs: CONTINUATION_OVERLAP_MS,
      event: { to: 'requests', kind: 'overlap-ended', key: request.key, attempt: number },
    }));
};

/**
 * Lets a stalled stream go on elsewhere. An endpoint that can be reached may work on without noticing
 * the close of its connection, and a report that does not list the run is no proof that it has ended: the
 * endpoint is ordered to stop first. It keeps a stream that it cannot be ordered to stop.
 */
const resumeStalled = (
  forwarding: Forwarding,
  attempt: Attempt,
  silentMs: Millis,
  context: RequestsContext,
): Effects => {
  switch (attempt.reportedRun?.kind) {
    case 'running': {
      const moved = transferAtOnce({ forwarding, attempt }, context);
      return moved === null
        ? [describeSilence(forwarding, attempt, silentMs, 'unverified')]
        : [describeSilence(forwarding, attempt, silentMs, 'moved'), ...moved];
    }
    case 'not-stated':
    case 'ended':
    case 'not-running':
    case 'unanswered':
    case 'unreachable':
    case undefined:
      return stopAndContinue(forwarding, attempt, context);
    default:
      return assertNever(attempt.reportedRun);
  }
};

/**
 * Checks whether a stream has stalled, and continues it at another endpoint if one can. The silent
 * endpoint keeps its attempt until the continuation is under way: it may be sound and go on, whereas
 * the other endpoint may refuse.
 *
 * @param forwarding - request
 * @param attempt - attempt that is checked
 * @param context - state and inputs
 * @returns effects
 */
export const checkStall = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const stallTimeoutMs = computeStallTimeout(forwarding);
  const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
  if (silentMs < stallTimeoutMs) {
    return [scheduleStallCheck(forwarding, attempt, stallTimeoutMs - silentMs)];
  }
  const nextCheck = scheduleStallCheck(forwarding, attempt, stallTimeoutMs);
  const isEnding =
    attempt.transfer !== null ||
    attempt.failure !== null ||
    findStop(forwarding.request.key, attempt.number, context) !== null;
  // Before its first event, a request may be queued at the endpoint.
  if (attempt.events === 0) return [nextCheck];
  // What decides on the stream now may come to nothing while its caller waits.
  if (isEnding || forwarding.attempts.size > 1)
    return [scheduleStallCheck(forwarding, attempt, STALL_RECHECK_MS)];
  return [...resumeStalled(forwarding, attempt, silentMs, context), nextCheck];
};

const toSilentEnd = (attempt: Attempt, { inputs }: RequestsContext): AttemptEnd => {
  const silentMs = Math.round(inputs.clock.now() - attempt.lastEventAt);
  return { kind: 'silent', message: `no event for ${silentMs.toString()} ms` };
};

/** Reports whether an endpoint may end before it has finished what it holds. */
const isLeaving = ({ endpoint }: Attempt, { inputs }: RequestsContext): boolean => {
  const state = inputs.findHolder(endpoint);
  return state.kind === 'lost' || state.leavingAt !== null || state.dataCentreOutAt !== null;
};

/**
 * Reports whether the events of a leaving endpoint wait until the continuation of its stream has begun
 * or failed. The continuation has used the only copy, and the endpoint may break off right after the
 * events that it made during its silence. The caller gets the events of one of the two: the
 * continuation repeats those that are held, and its own may differ from them.
 *
 * @param forwarding - request with a stream
 * @param attempt - attempt that received events
 * @param context - state and inputs
 * @returns false when the events can be passed on; the end of the overlap ends the wait
 */
export const isHeldForContinuation = (
  { attempts }: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): boolean => {
  const isContinued = [...attempts.values()].some(
    ({ events, number, permit, phase }) =>
      number > attempt.number &&
      permit.purpose === 'continuation' &&
      phase !== 'connecting' &&
      events === 0,
  );
  return isContinued && isLeaving(attempt, context);
};

/**
 * Describes that a silent endpoint went on and that its events are held.
 *
 * @param forwarding - request with a stream
 * @param attempt - attempt that received the first held event
 * @param context - state and inputs
 * @returns the log line
 */
export const describeHeld = (
  forwarding: Forwarding,
  attempt: Attempt,
  { inputs }: RequestsContext,
): GatewayEffect =>
  describeSilence(forwarding, attempt, inputs.clock.now() - attempt.lastEventAt, 'held');

/**
 * Ends the attempt at a silent endpoint, unless the endpoint went on or the continuation failed. A
 * continuation that has not been answered is ended instead, since both may not go on, unless the notice
 * of the silent endpoint has passed.
 *
 * @param forwarding - request
 * @param attempt - attempt that was silent when its continuation started
 * @param context - state and inputs
 * @returns effects
 */
export const endSilentAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const others = [...forwarding.attempts.values()].filter((other) => other !== attempt);
  // The probe of a connection that broke ends the attempt, and the continuation goes on.
  if (attempt.failure !== null) return [];
  // Each continuation has an overlap of its own, from the time at which it is sent.
  if (!others.some(({ phase }) => phase !== 'connecting')) return [];
  const isAnswered = others.some(({ phase }) => phase === 'answering');
  // An endpoint whose notice has passed ends before a transfer could replace the copy that was used.
  const isEnding = !isWithinNotice(attempt.endpoint, TRANSFER_RETRY_MS, context);
  if (!isAnswered && !isEnding && forwarding.route.resume !== 'resumable') {
    // The other endpoint may still refuse, and a generation could then not be placed again.
    const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
    return [
      describeSilence(forwarding, attempt, silentMs, 'unanswered'),
      ...endOverlap(forwarding, attempt, context),
    ];
  }
  return [
    { kind: 'cancel-attempt', key: forwarding.request.key, attempt: attempt.number },
    ...endAttempt(forwarding, attempt, toSilentEnd(attempt, context), context),
  ];
};

/**
 * Forgets the copy that a cancelled continuation has used: it may have begun to run the request, and a
 * copy can be used only once. A generation without a copy is transferred if its endpoint leaves.
 */
const clearUsedCopy = (
  forwarding: Forwarding,
  winner: Attempt,
  holder: EndpointId,
  context: RequestsContext,
): Effects => {
  const { backup, copy } = winner;
  if (backup?.id === holder) winner.backup = null;
  if (copy?.holder.id === holder) winner.copy = null;
  const isLost = backup !== winner.backup || copy !== winner.copy;
  return isLost ? waitForTransfer({ forwarding, attempt: winner }, context) : [];
};

/**
 * Ends the attempts beside the one whose event came first: the silent endpoint when the continuation
 * answers, or the continuation when the endpoint goes on.
 *
 * @param forwarding - request with a stream
 * @param winner - attempt that goes on
 * @param context - state and inputs
 * @returns effects
 */
export const endOverlap = (
  forwarding: Forwarding,
  winner: Attempt,
  context: RequestsContext,
): Effects => {
  const others = [...forwarding.attempts.values()].filter((attempt) => attempt !== winner);
  return others.flatMap((other) => {
    const cancel = {
      kind: 'cancel-attempt',
      key: forwarding.request.key,
      attempt: other.number,
    } as const;
    if (other.events > 0) {
      return [cancel, ...endAttempt(forwarding, other, toSilentEnd(other, context), context)];
    }
    removeAttempt(forwarding, other, context.state);
    if (other.phase === 'connecting') return [cancel];
    forwarding.possibleRuns += 1;
    return [
      cancel,
      ...stopRun(forwarding, other, toSilentEnd(other, context), context),
      ...clearUsedCopy(forwarding, winner, other.endpoint.id, context),
    ];
  });
};
