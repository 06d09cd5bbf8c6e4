import { chooseTransferTarget } from './attempts.js';
import { isProvablyNotRun } from './attemptEnds.js';
import type { AttemptEnd } from './attemptEnds.js';
import { RUN_STOP_CHECK_MS, RUN_STOP_RETRY_MS } from './constants.js';
import { continueRequest, isContinuable } from './continuing.js';
import { listCopies, releaseCopy } from './generationCopy.js';
import { failRequest } from './outcomes.js';
import { listCandidates } from './placementInputs.js';
import { computeStallTimeout } from './stallTimeout.js';
import { buildTransfer } from './transferOrders.js';
import type { Attempt, Effects, Forwarding, RequestsContext, RunStop } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointIncarnation, EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { RequestsEvent } from '../events.js';
import { toIncarnation } from '../statements/incarnations.js';
import type { RunState, TransferResult } from '../types.js';

/** What an order to stop a run has come to. */
type StopStep =
  'ordered' | 'stopped' | 'not-running' | 'ended' | 'unreachable' | 'unconfirmed' | 'given-up';

const describeStop = (
  { request, route }: Forwarding,
  { attempt, since, target }: RunStop,
  step: StopStep,
  { inputs }: RequestsContext,
  message = '',
): GatewayEffect => ({
  kind: 'log',
  name: 'run-stop',
  details: {
    requestId: request.id,
    endpoint: attempt.endpoint.id,
    entity: route.name,
    data: {
      attempt: attempt.number,
      step,
      target: target.id,
      events: attempt.events,
      waitedMs: Math.round(inputs.clock.now() - since),
      message,
    },
  },
});

/**
 * Reports whether an engine may go on with the run of an attempt that was given up. The close of its
 * connection tells an engine nothing that it has to heed.
 */
const isStopNeeded = ({ service }: Forwarding, { probe }: Attempt, end: AttemptEnd): boolean => {
  if (service.engine?.moves !== 'supported') return false;
  switch (end.kind) {
    case 'unreachable':
    case 'withdrawn':
    case 'refused':
    case 'crashed':
    case 'failed-answer':
      return false;
    case 'broken':
    case 'garbled':
    case 'silent':
      return probe === null || probe === 'reachable';
    default:
      return assertNever(end);
  }
};

/**
 * Chooses the endpoint that gets the memory of a run that stops. The order has to name one: without
 * room there, the run stops all the same.
 */
const chooseStopTarget = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): EndpointRecord | null =>
  chooseTransferTarget(forwarding, attempt, context) ??
  attempt.backup ??
  listCandidates(forwarding, context).find(({ record }) => record.id !== attempt.endpoint.id)
    ?.record ??
  null;

const orderStop = (forwarding: Forwarding, { attempt, target }: RunStop): GatewayEffect => ({
  kind: 'stop-run',
  ...buildTransfer({ attempt, forwarding }, target, 'stop'),
});

const scheduleCheck = ({ request }: Forwarding, stop: RunStop, delayMs: Millis): GatewayEffect => {
  stop.checks += 1;
  const { attempt, checks: check } = stop;
  const event = { to: 'requests', kind: 'run-stop-due', key: request.key, check } as const;
  return { kind: 'schedule', delayMs, event: { ...event, attempt: attempt.number } };
};

/**
 * Orders the engine of an attempt that was given up to stop its run, unless the run has ended for
 * certain.
 *
 * @param forwarding - request, which goes on at another endpoint
 * @param attempt - attempt that has been removed from the request
 * @param end - how the attempt ended
 * @param context - state and inputs
 * @returns effects; none without another endpoint, since the request can go on at none then
 */
export const stopRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => {
  if (isProvablyNotRun(end, attempt) || !isStopNeeded(forwarding, attempt, end)) return [];
  const target = chooseStopTarget(forwarding, attempt, context);
  if (target === null) return [];
  const since = context.inputs.clock.now();
  const stop: RunStop = { attempt, since, target, order: 'pending', checks: 0 };
  forwarding.stops.set(attempt.number, stop);
  return [
    describeStop(forwarding, stop, 'ordered', context),
    orderStop(forwarding, stop),
    scheduleCheck(forwarding, stop, RUN_STOP_CHECK_MS),
  ];
};

const continueIfStopped = (forwarding: Forwarding, context: RequestsContext): Effects => {
  const { stops, waitsForStops } = forwarding;
  if (waitsForStops === null || stops.size > 0) return [];
  forwarding.waitsForStops = null;
  const { attempt, end } = waitsForStops;
  return continueRequest(forwarding, attempt, end, context);
};

/**
 * Continues a request without a running attempt elsewhere, once the runs of its earlier attempts have
 * stopped: two engines may not work on one request.
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
  const mayContinue = isProvablyNotRun(end, attempt) || isContinuable(forwarding, attempt);
  // Nothing runs beside an engine that works on without a caller.
  if (!mayContinue) return continueRequest(forwarding, attempt, end, context);
  const ordered = stopRun(forwarding, attempt, end, context);
  forwarding.waitsForStops = { attempt, end };
  return [...ordered, ...continueIfStopped(forwarding, context)];
};

/** Ends the order to stop a run that goes on no longer, or that nobody can reach. */
const endStop = (
  forwarding: Forwarding,
  stop: RunStop,
  step: StopStep,
  context: RequestsContext,
): Effects => {
  const { attempt } = stop;
  forwarding.stops.delete(attempt.number);
  const isNeeded = forwarding.waitsForStops?.attempt === attempt;
  return [
    describeStop(forwarding, stop, step, context),
    ...(isNeeded ? [] : releaseCopy(attempt)),
    ...continueIfStopped(forwarding, context),
  ];
};

const waitForConfirmation = (
  forwarding: Forwarding,
  stop: RunStop,
  message: string,
  context: RequestsContext,
): Effects => {
  stop.order = 'unconfirmed';
  return [
    describeStop(forwarding, stop, 'unconfirmed', context, message),
    scheduleCheck(forwarding, stop, RUN_STOP_RETRY_MS),
  ];
};

const applyStopResult = (
  forwarding: Forwarding,
  stop: RunStop,
  result: TransferResult,
  context: RequestsContext,
): Effects => {
  const { attempt, target } = stop;
  switch (result.kind) {
    case 'copied':
      attempt.copy = { holder: target, handle: result.handle };
      return endStop(forwarding, stop, 'stopped', context);
    case 'no-room':
      if (result.handle === null)
        return waitForConfirmation(forwarding, stop, 'no room and no handle', context);
      // The source keeps the memory of the run.
      if (listCopies(attempt).length === 0)
        attempt.copy = { holder: attempt.endpoint, handle: result.handle };
      return endStop(forwarding, stop, 'stopped', context);
    case 'not-running':
    case 'unreachable':
      return endStop(forwarding, stop, result.kind, context);
    case 'failed':
      return waitForConfirmation(forwarding, stop, result.message, context);
    default:
      return assertNever(result);
  }
};

const findStop = (
  key: number,
  attempt: number,
  { state }: RequestsContext,
): readonly [Forwarding, RunStop] | null => {
  const forwarding = state.inFlight.get(key);
  const stop = forwarding?.stops.get(attempt);
  return forwarding === undefined || stop === undefined ? null : [forwarding, stop];
};

const releaseUnused = (source: EndpointIncarnation, result: TransferResult): Effects =>
  result.kind === 'copied' ? [{ kind: 'release-copy', source, handle: result.handle }] : [];

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
  const found = findStop(key, attempt, context);
  return found === null
    ? releaseUnused(source, result)
    : applyStopResult(...found, result, context);
};

/**
 * Gives up an order that no answer confirmed. A request that would go on elsewhere fails: its engine
 * can be reached and may work on.
 */
const endUnconfirmedStop = (
  forwarding: Forwarding,
  stop: RunStop,
  context: RequestsContext,
): Effects => {
  forwarding.stops.delete(stop.attempt.number);
  const described = describeStop(forwarding, stop, 'given-up', context);
  if (forwarding.waitsForStops === null) return [described];
  const reason = 'the endpoint did not confirm that it has stopped the run';
  return [described, ...failRequest(forwarding, reason, context)];
};

/**
 * Checks on a run whose stop has not been confirmed: orders it again, and asks the engine what it runs,
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
  const found = findStop(key, attempt, context);
  if (found === null) return [];
  const [forwarding, stop] = found;
  if (check !== stop.checks) return [];
  const waitedMs = context.inputs.clock.now() - stop.since;
  if (waitedMs >= computeStallTimeout(forwarding))
    return endUnconfirmedStop(forwarding, stop, context);
  const repeated = stop.order === 'unconfirmed' ? [orderStop(forwarding, stop)] : [];
  stop.order = 'pending';
  return [
    ...repeated,
    {
      kind: 'check-run',
      key,
      attempt,
      requestId: forwarding.request.id,
      endpoint: toIncarnation(stop.attempt.endpoint),
    },
    scheduleCheck(forwarding, stop, RUN_STOP_CHECK_MS),
  ];
};

/**
 * Handles what an engine says about a run that it was ordered to stop.
 *
 * @param event - request, attempt and state of the run
 * @param context - state and inputs
 * @returns effects; none unless the run has ended
 */
export const handleStoppedRunState = (
  { attempt, key, run }: { attempt: number; key: number; run: RunState },
  context: RequestsContext,
): Effects => {
  const found = findStop(key, attempt, context);
  const isOver = run.kind === 'not-running' || run.kind === 'ended';
  return found === null || !isOver ? [] : endStop(...found, run.kind, context);
};
