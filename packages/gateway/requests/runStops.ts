import { isProvablyNotRun } from './attemptEnds.js';
import type { AttemptEnd } from './attemptEnds.js';
import { cancelAttempts } from './attempts.js';
import { continueRequest, isContinuable } from './continuing.js';
import { computeCheckDelay, createStop, orderStop, scheduleCheck } from './stopOrders.js';
import { addStop, findStop, listStops, releaseStopPermit, removeStop } from './stopState.js';
import { recordStep } from './stopSteps.js';
import { isHoldingUp } from './stopWaits.js';
import type { Attempt, Effects, Forwarding, RequestsContext, RunStop } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';

/**
 * Reports whether an engine may go on with the run of an attempt that was given up. The close of its
 * connection tells an engine nothing that it has to heed.
 */
const isStopNeeded = ({ service }: Forwarding, { probe }: Attempt, end: AttemptEnd): boolean => {
  if (service.engine === null) return false;
  switch (end.kind) {
    case 'unreachable':
    case 'withdrawn':
    case 'refused':
    case 'crashed':
    case 'failed-answer':
    case 'stopped':
      return false;
    case 'broken':
    case 'garbled':
    case 'silent':
      return probe !== 'refused';
    default:
      return assertNever(end);
  }
};

/** Orders an engine to stop a run, and again until it is certain that the run has ended. */
const startStop = (forwarding: Forwarding, attempt: Attempt, context: RequestsContext): RunStop => {
  const stop = createStop(forwarding, attempt, context);
  addStop(stop, context);
  return stop;
};

const openStop = (stop: RunStop, context: RequestsContext): Effects => [
  ...recordStep(stop, 'ordered', context),
  ...orderStop(stop, context),
  scheduleCheck(stop, computeCheckDelay(stop)),
];

/**
 * Orders the engine of an attempt that was given up to stop its run, unless the run has ended for
 * certain. The order outlasts the request: it is repeated until the end of the run is proved.
 *
 * @param forwarding - request, which goes on at another endpoint
 * @param attempt - attempt that has been removed from the request
 * @param end - how the attempt ended
 * @param context - state and inputs
 * @returns effects
 */
export const stopRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const known = findStop(forwarding.request.key, attempt.number, context);
  if (isProvablyNotRun(end, attempt) || !isStopNeeded(forwarding, attempt, end)) {
    if (known !== null) removeStop(known, context);
    return [];
  }
  if (known === null) return openStop(startStop(forwarding, attempt, context), context);
  releaseStopPermit(known);
  return [];
};

/**
 * Orders the engine of a silent stream to stop its run, before the stream goes on elsewhere. The attempt
 * stays open until the engine confirms it.
 *
 * @param forwarding - request
 * @param attempt - attempt that is silent
 * @param permit - permission to go on from the memory of the run
 * @param context - state and inputs
 * @returns effects
 */
export const stopSilentRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  permit: SendPermit,
  context: RequestsContext,
): Effects => {
  const stop = startStop(forwarding, attempt, context);
  stop.permit = permit;
  return openStop(stop, context);
};

/** Reports whether an engine may work on the request for an attempt that was given up. */
const isHeldUp = (forwarding: Forwarding, context: RequestsContext): boolean =>
  listStops(forwarding.request.key, context).some(isHoldingUp);

/**
 * Continues a request that waits for the runs of its earlier attempts, if none of them is left that an
 * engine may be working on.
 *
 * @param forwarding - request
 * @param context - state and inputs
 * @returns effects
 */
export const continueIfStopped = (forwarding: Forwarding, context: RequestsContext): Effects => {
  const { waitsForStops } = forwarding;
  if (waitsForStops === null || isHeldUp(forwarding, context)) return [];
  forwarding.waitsForStops = null;
  const { attempt, end } = waitsForStops;
  return continueRequest(forwarding, attempt, end, context);
};

/**
 * Continues a request without a running attempt elsewhere, once no engine works on the runs of its
 * earlier attempts: two engines may not work on one request.
 *
 * @param forwarding - request
 * @param attempt - attempt that ended last
 * @param end - how it ended
 * @param context - state and inputs
 * @returns effects
 */
export const continueAfterStops = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  const mayContinue =
    isProvablyNotRun(end, attempt) ||
    isContinuable(forwarding, attempt) ||
    // An order that is under way may bring the memory of the run.
    isHeldUp(forwarding, context);
  // Nothing runs beside an engine that works on without a caller.
  if (!mayContinue) return continueRequest(forwarding, attempt, end, context);
  const ordered = stopRun(forwarding, attempt, end, context);
  forwarding.waitsForStops = { attempt, end, since: context.inputs.clock.now() };
  return [...ordered, ...continueIfStopped(forwarding, context)];
};

/**
 * Cancels all running attempts of a request that ends. If two engines may have it, as during the overlap
 * of a silent stream, they are ordered to stop: they may not heed the close of their connections.
 *
 * @param forwarding - request
 * @param context - state and inputs
 * @returns effects that close the connections, release the copies and order the engines
 */
export const cancelRuns = (forwarding: Forwarding, context: RequestsContext): Effects => {
  const sent = [...forwarding.attempts.values()].filter(({ phase }) => phase !== 'connecting');
  const end = { kind: 'silent', message: 'the request has ended' } as const;
  const held = listStops(forwarding.request.key, context);
  const stops =
    sent.length + held.length > 1
      ? sent.flatMap((attempt) => stopRun(forwarding, attempt, end, context))
      : [];
  return [...cancelAttempts(forwarding, context), ...stops];
};
