import { RUN_CHECK_INTERVAL_SHARE, RUN_CHECK_SHARE } from './constants.js';
import { computeStallTimeout } from './stallTimeout.js';
import { findStop } from './stopState.js';
import { stopAndContinue } from './streamContinuations.js';
import { transferAtOnce } from './transferStarts.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { GatewayEffect } from '../effects.js';
import { toIncarnation } from '../statements/incarnations.js';
import type { RunState } from '../types.js';

/** What is done after the engine of a silent stream has answered about its run. */
type RunCheckResponse = 'wait' | 'moved' | 'ordered';

const getStreamDelay = ({ inputs }: RequestsContext): Millis =>
  inputs.getLiveSettings().learnWithin.outageMs * RUN_CHECK_SHARE;

/**
 * Computes the time without an event after which the engine is asked about its run. Before the first
 * event a request may be queued, so the engine is asked as late as for a stalled stream.
 */
const computeCheckDelay = (
  forwarding: Forwarding,
  { events }: Attempt,
  context: RequestsContext,
): Millis => (events === 0 ? computeStallTimeout(forwarding) : getStreamDelay(context));

const scheduleRunCheck = (
  { request }: Forwarding,
  { number }: Attempt,
  delayMs: Millis,
): GatewayEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'requests', kind: 'run-check-due', key: request.key, attempt: number },
});

/**
 * Schedules the first check of a stream's run.
 *
 * @param forwarding - request
 * @param attempt - attempt that is about to be sent
 * @param context - state and inputs
 * @returns effects; none for a request without a stream of an engine
 */
export const startRunChecks = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects =>
  forwarding.route.answer === 'stream' && forwarding.service.engine !== null
    ? [scheduleRunCheck(forwarding, attempt, getStreamDelay(context))]
    : [];

/** Reports whether another attempt, a transfer or an order to stop already decides what becomes of the stream. */
const isDecided = (forwarding: Forwarding, attempt: Attempt, context: RequestsContext): boolean =>
  forwarding.attempts.size > 1 ||
  findStop(forwarding.request.key, attempt.number, context) !== null ||
  attempt.failure !== null ||
  (attempt.transfer !== null && attempt.transfer.phase !== 'waiting');

/**
 * Asks the engine of a silent stream on a new connection whether it still runs the request. A
 * connection can fall silent for good while its endpoint works on, so silence alone shows neither
 * that the endpoint has stopped nor that it would notice the close of the connection.
 *
 * @param forwarding - request
 * @param attempt - attempt with the stream
 * @param context - state and inputs
 * @returns effects
 */
export const checkRun = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const delayMs = computeCheckDelay(forwarding, attempt, context);
  const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
  // The delay is shorter once the first event arrives.
  if (silentMs < delayMs) {
    const waitMs = Math.min(delayMs - silentMs, getStreamDelay(context));
    return [scheduleRunCheck(forwarding, attempt, waitMs)];
  }
  if (isDecided(forwarding, attempt, context))
    return [scheduleRunCheck(forwarding, attempt, delayMs)];
  return [
    {
      kind: 'check-run',
      key: forwarding.request.key,
      attempt: attempt.number,
      requestId: forwarding.request.id,
      endpoint: toIncarnation(attempt.endpoint),
    },
  ];
};

const describeRunCheck = (
  { request, route }: Forwarding,
  { endpoint, events, number }: Attempt,
  run: RunState,
  silentMs: Millis,
  response: RunCheckResponse,
): GatewayEffect => ({
  kind: 'log',
  name: 'run-checked',
  details: {
    requestId: request.id,
    endpoint: endpoint.id,
    entity: route.name,
    data: {
      attempt: number,
      silentMs: Math.round(silentMs),
      events,
      run: run.kind,
      reportedEvents: run.kind === 'running' ? run.events : -1,
      response,
    },
  },
});

/** Reports whether the run made events of which none arrived on the connection of the attempt. */
const hasAdvanced = (before: RunState | null, run: RunState): boolean =>
  before?.kind === 'running' && run.kind === 'running' && run.events > before.events;

interface RunCheckDecision {
  readonly response: RunCheckResponse;
  readonly effects: Effects;
}

const WAIT: RunCheckDecision = { response: 'wait', effects: [] };

const decideResponse = (
  forwarding: Forwarding,
  attempt: Attempt,
  before: RunState | null,
  run: RunState,
  context: RequestsContext,
): RunCheckDecision => {
  switch (run.kind) {
    case 'running': {
      if (!hasAdvanced(before, run)) return WAIT;
      const effects = transferAtOnce({ forwarding, attempt }, context);
      return effects === null
        ? { response: 'ordered', effects: stopAndContinue(forwarding, attempt, context) }
        : { response: 'moved', effects };
    }
    case 'not-stated':
    case 'unreachable':
    case 'unanswered':
    case 'not-running':
    case 'ended':
      // The engine is ordered to stop when the stream has stalled.
      return WAIT;
    default:
      return assertNever(run);
  }
};

/**
 * Handles what the engine of a silent stream says about the run. An engine that goes on while nothing
 * arrives has lost the connection: it is told on a new one to stop the run, which then resumes from
 * its memory.
 *
 * @param forwarding - request
 * @param attempt - attempt with the stream
 * @param run - state of the run
 * @param context - state and inputs
 * @returns effects
 */
export const handleRunState = (
  forwarding: Forwarding,
  attempt: Attempt,
  run: RunState,
  context: RequestsContext,
): Effects => {
  const delayMs = computeCheckDelay(forwarding, attempt, context);
  const silentMs = context.inputs.clock.now() - attempt.lastEventAt;
  if (silentMs < delayMs) return [scheduleRunCheck(forwarding, attempt, delayMs - silentMs)];
  if (isDecided(forwarding, attempt, context))
    return [scheduleRunCheck(forwarding, attempt, delayMs)];
  const before = attempt.reportedRun;
  attempt.reportedRun = run;
  const { effects, response } = decideResponse(forwarding, attempt, before, run, context);
  return [
    describeRunCheck(forwarding, attempt, run, silentMs, response),
    ...effects,
    scheduleRunCheck(forwarding, attempt, silentMs * RUN_CHECK_INTERVAL_SHARE),
  ];
};
