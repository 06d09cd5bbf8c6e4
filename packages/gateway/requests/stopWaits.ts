import { MAX_REPORT_AGE_MS, MIN_REPORT_MISSES, MIN_UNREACHED_MS } from './constants.js';
import { computeCallerPatience, computeStallTimeout } from './stallTimeout.js';
import { findOpenAttempt } from './stopState.js';
import type { OpenAttempt } from './stopState.js';
import type { EndedAttempt, Forwarding, RequestsContext, RunStop } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RunState } from '../types.js';

/**
 * Reports whether an engine has given its report, and so is reached.
 *
 * @param run - what it says about a run; null if it has not been asked
 * @returns false without a usable report
 */
export const isReported = (run: RunState | null): boolean =>
  run !== null && run.kind !== 'unreachable' && run.kind !== 'unanswered';

/**
 * Reports whether a request waits for one of its runs. No time ends the wait for a proof: a run that its
 * engine does not work on now may wait there, and resume beside a continuation.
 *
 * @param stop - order to stop the run
 * @returns false while nobody reaches the engine
 */
export const isHoldingUp = ({ phase }: RunStop): boolean => {
  switch (phase) {
    case 'unconfirmed':
    case 'not-running':
      return true;
    case 'unreachable':
      return false;
    default:
      return assertNever(phase);
  }
};

/**
 * Notes that an engine has answered an order or given its report.
 *
 * @param stop - order to stop one of its runs, which is changed
 * @param context - inputs
 */
export const recordContact = (stop: RunStop, { inputs }: RequestsContext): void => {
  stop.reachedAt = inputs.clock.now();
  stop.misses = 0;
  if (stop.phase === 'unreachable') stop.phase = 'unconfirmed';
};

/** Returns the number of failed connections in a row that show that nobody reaches an engine. */
const getNeededMisses = ({ means, reachedAt }: RunStop): number => {
  switch (means) {
    case 'order':
      // One failure does not show that of an engine that has just answered.
      return reachedAt === null ? 1 : 2;
    case 'report':
      return MIN_REPORT_MISSES;
    default:
      return assertNever(means);
  }
};

/**
 * Notes that no connection to an engine was established, for an order or for its report if it takes none.
 *
 * @param stop - order, which is changed
 * @param context - inputs
 * @returns whether nobody reaches the engine
 */
export const recordMiss = (
  stop: RunStop,
  { inputs }: RequestsContext,
): 'reached' | 'unreachable' => {
  stop.misses += 1;
  const unreachedMs = inputs.clock.now() - (stop.reachedAt ?? -Infinity);
  const isUnreached = stop.misses >= getNeededMisses(stop) && unreachedMs >= MIN_UNREACHED_MS;
  return isUnreached ? 'unreachable' : 'reached';
};

/**
 * Reports whether what an engine reports now is of a time at which it had the request. An older report
 * does not list it, either.
 *
 * @param stop - order to stop the run of the request
 * @param context - inputs
 * @returns false soon after the request was sent
 */
export const isReportRecent = ({ sentAt }: RunStop, { inputs }: RequestsContext): boolean =>
  inputs.clock.now() - sentAt >= MAX_REPORT_AGE_MS;

/**
 * Reports whether a silent stream has gone on by itself since its engine was first ordered to stop it.
 *
 * @param stop - order to stop the run
 * @param open - attempt of the stream
 * @returns false while no event has arrived since then
 */
export const isGoingOn = (stop: RunStop, { attempt }: OpenAttempt): boolean =>
  attempt.lastEventAt > stop.since;

/**
 * Returns the instant until which a broken request waits. A run that waits at its engine may resume and hand
 * over its memory; a caller who cannot send the request again loses nothing by the wait.
 */
const findBrokenWaitEnd = (
  { phase, since }: RunStop,
  forwarding: Forwarding,
  ended: EndedAttempt,
): Millis => {
  const stalledAt = Math.max(since, ended.since) + computeStallTimeout(forwarding);
  return phase === 'not-running' && forwarding.route.repeat === 'once'
    ? Math.max(stalledAt, forwarding.lastDeliveredAt + computeCallerPatience(forwarding))
    : stalledAt;
};

/**
 * Returns the instant until which a request waits for the proof that a run has ended; null if it does not
 * wait. A silent stream may still go on by itself, until its caller leaves.
 *
 * @param stop - order to stop the run
 * @param forwarding - request
 * @param context - state
 * @returns the instant, after which the request fails
 */
export const findWaitEnd = (
  stop: RunStop,
  forwarding: Forwarding,
  context: RequestsContext,
): Millis | null => {
  if (!isHoldingUp(stop)) return null;
  const open = findOpenAttempt(stop, context);
  if (open !== null) {
    const patienceMs = computeCallerPatience(forwarding);
    return isGoingOn(stop, open) ? null : open.attempt.lastEventAt + patienceMs;
  }
  const { waitsForStops } = forwarding;
  return waitsForStops === null ? null : findBrokenWaitEnd(stop, forwarding, waitsForStops);
};
