import { removeAttempt } from './answerMemory.js';
import { describeEnd } from './attemptEnds.js';
import { isHolderUsable, openContinuation, planFromCopy } from './attempts.js';
import { RUN_STOP_CHECK_MS, RUN_STOP_WATCH_MS } from './constants.js';
import { listCopies } from './generationCopy.js';
import { failRequest } from './outcomes.js';
import { endAttempt } from './retrying.js';
import { startRunChecks } from './runChecks.js';
import { cancelRuns, continueIfStopped } from './runStops.js';
import {
  checkReport,
  computeCheckDelay,
  computeOrderDelay,
  orderStop,
  scheduleCheck,
} from './stopOrders.js';
import { findOpenAttempt, findStop, isUsedAgain, removeStop } from './stopState.js';
import type { OpenAttempt } from './stopState.js';
import { recordStep } from './stopSteps.js';
import type { StopStep } from './stopSteps.js';
import {
  findWaitEnd,
  isGoingOn,
  isHoldingUp,
  isReported,
  isReportRecent,
  recordContact,
  recordMiss,
} from './stopWaits.js';
import { continueElsewhere } from './streamContinuations.js';
import type {
  Attempt,
  Effects,
  RequestsContext,
  RunStop,
  RunStopPhase,
  TransferredCopy,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { releaseSend } from '../../decisions/forwarding/sendPermits.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { EndpointIncarnation } from '../../decisions/forwarding/types.js';
import type { RequestsEvent } from '../events.js';
import { toIncarnation } from '../statements/incarnations.js';
import type { RunState, TransferResult } from '../types.js';

/** Finds the attempt whose request can go on from the memory of its run. */
const findResumable = (stop: RunStop, context: RequestsContext): Attempt | null => {
  const open = findOpenAttempt(stop, context);
  if (open !== null) return open.attempt;
  const ended = context.state.inFlight.get(stop.key)?.waitsForStops?.attempt ?? null;
  return ended?.number === stop.attempt ? ended : null;
};

const releaseMemory = (source: EndpointIncarnation, handle: string): Effects => [
  { kind: 'release-copy', source, handle },
];

/**
 * Keeps the memory of a run for its request, or releases it if the request does not go on from it. The
 * engine frees memory that is neither used nor released by itself.
 */
const storeMemory = (stop: RunStop, copy: TransferredCopy, context: RequestsContext): Effects => {
  const attempt = findResumable(stop, context);
  if (attempt === null) return releaseMemory(toIncarnation(stop.endpoint), copy.handle);
  // A copy elsewhere is preferred to the memory at the engine that was given up.
  const isNeeded = copy.holder.id !== stop.endpoint.id || listCopies(attempt).length === 0;
  if (isNeeded) attempt.copy = copy;
  return [];
};

/** Resumes a silent stream whose run has ended, from a copy of it and with the permission that was reserved. */
const resumeSilent = (
  { attempt, forwarding }: OpenAttempt,
  permit: SendPermit | null,
  context: RequestsContext,
): Effects => {
  const cancel = {
    kind: 'cancel-attempt',
    key: forwarding.request.key,
    attempt: attempt.number,
  } as const;
  const end = { kind: 'stopped', message: 'the endpoint has ended the run' } as const;
  const [copy, fallback] = listCopies(attempt).filter(({ holder }) =>
    isHolderUsable(holder, context),
  );
  const plan = copy === undefined ? null : planFromCopy(forwarding, copy, context);
  if (copy !== undefined && plan !== null && permit !== null) {
    removeAttempt(forwarding, attempt, context.state);
    // The source keeps the memory that it has handed over.
    const way = fallback ?? { ...copy, holder: attempt.endpoint };
    const described = describeEnd(forwarding, attempt, end, context);
    const opened = openContinuation(forwarding, { ...plan, fallback: way }, permit, context);
    return [cancel, ...described, ...opened];
  }
  if (permit !== null) releaseSend(permit);
  return [cancel, ...endAttempt(forwarding, attempt, end, context)];
};

/** Ends an order: the run has ended for certain, and its request goes on. */
const endStop = (stop: RunStop, step: StopStep, context: RequestsContext): Effects => {
  const { permit } = stop;
  stop.permit = null;
  removeStop(stop, context);
  const recorded = recordStep(stop, step, context);
  const open = findOpenAttempt(stop, context);
  if (open !== null) return [...recorded, ...resumeSilent(open, permit, context)];
  if (permit !== null) releaseSend(permit);
  const forwarding = context.state.inFlight.get(stop.key);
  return [...recorded, ...(forwarding === undefined ? [] : continueIfStopped(forwarding, context))];
};

/** Ends an order at the deadline of its request, which ends then, too, and goes on nowhere. */
const expireStop = (stop: RunStop, context: RequestsContext): Effects => {
  removeStop(stop, context);
  return recordStep(stop, 'expired', context);
};

/** Ends the order to stop the run of an open attempt, which `runChecks.ts` watches again. */
const cancelStop = (
  stop: RunStop,
  { attempt, forwarding }: OpenAttempt,
  context: RequestsContext,
): Effects => {
  removeStop(stop, context);
  return startRunChecks(forwarding, attempt, context);
};

/**
 * Continues the silent stream of an engine that nobody reaches. The attempt stays open for the time of the
 * overlap, after which its engine is ordered to stop again.
 */
const continueSilent = (stop: RunStop, open: OpenAttempt, context: RequestsContext): Effects => {
  const { attempt, forwarding } = open;
  const cancelled = cancelStop(stop, open, context);
  const isDecided = forwarding.attempts.size > 1 || attempt.failure !== null;
  return isDecided || isGoingOn(stop, open)
    ? cancelled
    : [...cancelled, ...continueElsewhere(forwarding, attempt, context)];
};

/** Ends an attempt whose stream ended while the order was pending, and that the order has not stopped. */
const endClosed = ({ attempt, forwarding }: OpenAttempt, context: RequestsContext): Effects => {
  const end = { kind: 'broken', message: 'the stream ended during an order to stop it' } as const;
  return [
    { kind: 'cancel-attempt', key: forwarding.request.key, attempt: attempt.number },
    ...endAttempt(forwarding, attempt, end, context),
  ];
};

/** Lets the request go on unless it waits for the run. */
const continueIfFree = (stop: RunStop, context: RequestsContext): Effects => {
  const forwarding = context.state.inFlight.get(stop.key);
  if (forwarding === undefined) return [];
  const open = findOpenAttempt(stop, context);
  if (open === null) return continueIfStopped(forwarding, context);
  if (open.attempt.streamState !== 'open') return endClosed(open, context);
  return isHoldingUp(stop) ? [] : continueSilent(stop, open, context);
};

/**
 * Notes that the engine does not work on the run now, or that nobody reaches it. The order is repeated,
 * so that a run that begins later is stopped, also when the request has gone on.
 */
const holdStop = (
  stop: RunStop,
  phase: Exclude<RunStopPhase, 'unconfirmed'>,
  context: RequestsContext,
): Effects => {
  const recorded = stop.phase === phase ? [] : recordStep(stop, phase, context);
  stop.phase = phase;
  stop.order = 'answered';
  return [
    ...recorded,
    scheduleCheck(stop, computeOrderDelay(stop, context)),
    ...continueIfFree(stop, context),
  ];
};

const waitForConfirmation = (stop: RunStop, message: string, context: RequestsContext): Effects => {
  stop.phase = 'unconfirmed';
  stop.order = 'answered';
  const open = findOpenAttempt(stop, context);
  return [
    ...recordStep(stop, 'unconfirmed', context, message),
    scheduleCheck(stop, computeOrderDelay(stop, context)),
    ...(open === null || open.attempt.streamState === 'open' ? [] : endClosed(open, context)),
  ];
};

const applyResult = (stop: RunStop, result: TransferResult, context: RequestsContext): Effects => {
  const { endpoint, target } = stop;
  if (result.kind !== 'unreachable') recordContact(stop, context);
  switch (result.kind) {
    case 'copied': {
      const copy = { holder: target ?? endpoint, handle: result.handle };
      return [...storeMemory(stop, copy, context), ...endStop(stop, 'stopped', context)];
    }
    case 'no-room': {
      if (result.handle === null)
        return waitForConfirmation(stop, 'no room and no handle', context);
      // The source keeps the memory of the run.
      const copy = { holder: endpoint, handle: result.handle };
      return [...storeMemory(stop, copy, context), ...endStop(stop, 'stopped', context)];
    }
    case 'not-running':
      return holdStop(stop, 'not-running', context);
    case 'refused':
      return endStop(stop, 'refused', context);
    case 'unreachable':
      return recordMiss(stop, context) === 'reached'
        ? waitForConfirmation(stop, result.message, context)
        : holdStop(stop, 'unreachable', context);
    case 'failed':
      return waitForConfirmation(stop, result.message, context);
    default:
      return assertNever(result);
  }
};

/**
 * Handles the answer to an order to stop a run.
 *
 * @param event - request, attempt and answer
 * @param context - state and inputs
 * @returns effects
 */
export const handleStopAnswer = (
  { attempt, key, result, source }: Extract<RequestsEvent, { kind: 'run-stop-answered' }>,
  context: RequestsContext,
): Effects => {
  const stop = findStop(key, attempt, context);
  if (stop !== null) return applyResult(stop, result, context);
  return result.kind === 'copied' ? releaseMemory(source, result.handle) : [];
};

/** Fails a request that has waited too long: its engine can be reached and may work on it. */
const failUnproven = (stop: RunStop, context: RequestsContext): Effects => {
  const forwarding = context.state.inFlight.get(stop.key);
  if (forwarding === undefined) return [];
  const waitEnd = findWaitEnd(stop, forwarding, context);
  if (waitEnd === null || context.inputs.clock.now() < waitEnd) return [];
  const reason = 'the endpoint did not prove that it has stopped the run';
  return [
    ...recordStep(stop, 'given-up', context),
    ...cancelRuns(forwarding, context),
    ...failRequest(forwarding, reason, context),
  ];
};

/** Ends the order to stop a silent stream that has gone on by itself; null if it has not. */
const cancelNeedless = (stop: RunStop, context: RequestsContext): Effects | null => {
  const open = findOpenAttempt(stop, context);
  if (stop.order === 'pending' || open === null || !isGoingOn(stop, open)) return null;
  return [...recordStep(stop, 'withdrawn', context), ...cancelStop(stop, open, context)];
};

/** A request that waits for the proof gets it from the next report. */
const isReportDue = (stop: RunStop, context: RequestsContext): boolean => {
  if (stop.phase === 'unreachable' && stop.means === 'order') return false;
  const delayMs = stop.phase === 'not-running' ? RUN_STOP_WATCH_MS : RUN_STOP_CHECK_MS;
  return context.inputs.clock.now() - stop.askedAt >= delayMs;
};

/**
 * Checks on a run whose end has not been proved: orders its stop again, and asks the engine what it runs,
 * since the answer to the order waits until the memory of the run has been copied.
 *
 * @param event - request, attempt and number of the check
 * @param context - state and inputs
 * @returns effects
 */
export const checkStop = (
  { attempt, check, key }: Extract<RequestsEvent, { kind: 'run-stop-due' }>,
  context: RequestsContext,
): Effects => {
  const stop = findStop(key, attempt, context);
  if (stop === null || check !== stop.checks) return [];
  if (context.inputs.clock.now() >= stop.endsAt) return expireStop(stop, context);
  if (stop.means === 'report' && !context.state.inFlight.has(key)) {
    // Nothing waits for the proof, and the engine cannot be told to stop.
    removeStop(stop, context);
    return [];
  }
  const cancelled = cancelNeedless(stop, context);
  if (cancelled !== null) return cancelled;
  const failed = failUnproven(stop, context);
  if (failed.length > 0) return failed;
  return [
    ...(stop.order === 'answered' && !isUsedAgain(stop, context) ? orderStop(stop, context) : []),
    ...(isReportDue(stop, context) ? checkReport(stop, context) : []),
    scheduleCheck(stop, computeCheckDelay(stop)),
    ...continueIfFree(stop, context),
  ];
};

/**
 * Handles what an engine says about a run that it was ordered to stop. Only a report in which the request
 * can be nowhere proves the end of the run.
 *
 * @param stop - order to stop the run
 * @param run - state of the run
 * @param context - state and inputs
 * @returns effects; none unless the run has ended
 */
export const handleStoppedRunState = (
  stop: RunStop,
  run: RunState,
  context: RequestsContext,
): Effects => {
  stop.report = run.kind;
  if (isReported(run)) recordContact(stop, context);
  if (run.kind === 'unreachable' && stop.means === 'report')
    return recordMiss(stop, context) === 'reached' ? [] : holdStop(stop, 'unreachable', context);
  const open = findOpenAttempt(stop, context);
  // The last events of a run that went on and ended are on their way.
  const isNeedless = open !== null && isGoingOn(stop, open);
  return run.kind === 'ended' && isReportRecent(stop, context) && !isNeedless
    ? endStop(stop, run.kind, context)
    : [];
};
