import { chooseTransferTarget } from './attempts.js';
import {
  PLACEMENT_RETRY_MS,
  RUN_STOP_CHECK_MS,
  RUN_STOP_IDLE_MS,
  RUN_STOP_RETRY_MS,
  RUN_STOP_WATCH_MS,
} from './constants.js';
import { listCandidates } from './placementInputs.js';
import { isReported } from './stopWaits.js';
import type { Attempt, Effects, Forwarding, RequestsContext, RunStop } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import { toIncarnation } from '../statements/incarnations.js';

/** Number of times that the delay before an order to an engine that nobody reaches is doubled. */
const MAX_DOUBLINGS = 5;

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
  attempt.copy?.holder ??
  listCandidates(forwarding, context).find(({ record }) => record.id !== attempt.endpoint.id)
    ?.record ??
  null;

/**
 * Creates an order to stop the run of an attempt.
 *
 * @param forwarding - request
 * @param attempt - attempt that is given up
 * @param context - state and inputs
 * @returns the order, which has not been given
 */
export const createStop = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): RunStop => {
  const now = context.inputs.clock.now();
  return {
    key: forwarding.request.key,
    requestId: forwarding.request.id,
    route: forwarding.route.name,
    attempt: attempt.number,
    endpoint: attempt.endpoint,
    events: attempt.events,
    sentAt: attempt.sentAt,
    since: now,
    endsAt: forwarding.deadlineAt,
    means: forwarding.service.engine?.moves === 'supported' ? 'order' : 'report',
    target: chooseStopTarget(forwarding, attempt, context),
    permit: null,
    phase: 'unconfirmed',
    order: 'answered',
    orders: 0,
    report: attempt.reportedRun?.kind ?? 'none',
    reachedAt: isReported(attempt.reportedRun) ? now : null,
    misses: 0,
    askedAt: now,
    checks: 0,
  };
};

const findOtherEndpoint = (
  { endpoint }: RunStop,
  { inputs }: RequestsContext,
): EndpointRecord | null =>
  inputs.listEndpoints(endpoint.service).find(({ record }) => record.id !== endpoint.id)?.record ??
  null;

/**
 * Gives an order to stop a run.
 *
 * @param stop - order
 * @param context - state and inputs
 * @returns the order to the engine; none while no other endpoint can be named as the target, or if the engine
 *   takes no orders
 */
export const orderStop = (stop: RunStop, context: RequestsContext): Effects => {
  if (stop.means === 'report') return [];
  stop.target ??= findOtherEndpoint(stop, context);
  const { attempt, endpoint, key, requestId, target } = stop;
  if (target === null) {
    // The request can go on nowhere else, either.
    stop.phase = 'unreachable';
    return [];
  }
  stop.order = 'pending';
  stop.orders += 1;
  const source = toIncarnation(endpoint);
  const order = {
    requestId,
    source: source.address,
    target: target.address,
    mode: 'stop',
  } as const;
  return [{ kind: 'stop-run', key, attempt, source, order }];
};

/**
 * Asks an engine what it runs.
 *
 * @param stop - order to stop one of its runs
 * @param context - inputs
 * @returns the question
 */
export const checkReport = (stop: RunStop, { inputs }: RequestsContext): Effects => {
  stop.askedAt = inputs.clock.now();
  const { attempt, endpoint, key, requestId } = stop;
  return [{ kind: 'check-run', key, attempt, requestId, endpoint: toIncarnation(endpoint) }];
};

/**
 * Schedules the next check of an order; earlier ones count no more.
 *
 * @param stop - order
 * @param delayMs - time until the check
 * @returns the timer
 */
export const scheduleCheck = (stop: RunStop, delayMs: Millis): GatewayEffect => {
  stop.checks += 1;
  const { attempt, checks: check, key } = stop;
  return {
    kind: 'schedule',
    delayMs,
    event: { to: 'requests', kind: 'run-stop-due', key, attempt, check },
  };
};

/**
 * Computes the delay until an order without an answer is checked.
 *
 * @param stop - order
 * @returns the delay; that of a placement while there is no endpoint to name in the order
 */
export const computeCheckDelay = ({ means, target }: RunStop): Millis =>
  means === 'order' && target === null ? PLACEMENT_RETRY_MS : RUN_STOP_CHECK_MS;

/**
 * Computes the delay before an order that was answered is given again.
 *
 * @param stop - order
 * @param context - state
 * @returns the delay, a longer one after the end of the request
 */
export const computeOrderDelay = (
  { key, misses, phase }: RunStop,
  { state }: RequestsContext,
): Millis => {
  if (!state.inFlight.has(key)) return RUN_STOP_IDLE_MS;
  switch (phase) {
    case 'unconfirmed':
      return RUN_STOP_RETRY_MS;
    case 'not-running':
      return RUN_STOP_WATCH_MS;
    case 'unreachable':
      return RUN_STOP_WATCH_MS * 2 ** Math.min(Math.max(0, misses - 1), MAX_DOUBLINGS);
    default:
      return assertNever(phase);
  }
};
