import { TRANSFER_RETRY_MS } from './constants.js';
import { REPORT_TO_PEERS } from './peerReports.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { hasWish } from '../../decisions/forwarding/rest.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';

/** A running generation: its request, and the attempt at the endpoint that runs it. */
export interface RunningGeneration {
  readonly forwarding: Forwarding;
  readonly attempt: Attempt;
}

/**
 * Describes a step of a transfer.
 *
 * @param run - generation
 * @param step - name of the step
 * @param target - endpoint to which the generation is transferred; null before one is chosen
 * @returns the log line
 */
export const describeTransfer = (
  { attempt, forwarding }: RunningGeneration,
  step: string,
  target: EndpointRecord | null,
): GatewayEffect => ({
  kind: 'log',
  name: 'transfer-step',
  details: {
    requestId: forwarding.request.id,
    endpoint: attempt.endpoint.id,
    entity: forwarding.route.name,
    data: {
      attempt: attempt.number,
      step,
      target: target?.id ?? '',
      lastEventId: forwarding.lastEventId ?? '',
    },
  },
});

/**
 * Schedules the start of the next transfer from an endpoint.
 *
 * @param source - endpoint that is leaving
 * @param delayMs - delay of the start
 * @returns effect
 */
export const scheduleNextTransfer = (source: EndpointId, delayMs: Millis): GatewayEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'requests', kind: 'transfer-due', source },
});

const hasUsableBackup = ({ backup }: Attempt, context: RequestsContext): boolean =>
  backup !== null &&
  context.inputs
    .listEndpoints(backup.service)
    .some(
      ({ record, rest }) =>
        record.id === backup.id &&
        record.phase === 'ready' &&
        !hasWish(rest, context.inputs.clock.now()),
    );

/** Reports whether a further endpoint may run a stream once this attempt has ended. */
const isRunnableAgain = ({ possibleRuns, route }: Forwarding): boolean =>
  route.resume === 'resumable' && possibleRuns + 1 < route.maxEndpoints;

/**
 * Reports whether a generation has to be transferred when its endpoint leaves. A transfer goes on with
 * the same run, so it does not count against the endpoints that may run a stream.
 *
 * @param run - generation
 * @param context - state and inputs
 * @returns false when it can be started again, or when its transfer is under way
 */
export const isTransferNeeded = (
  { attempt, forwarding }: RunningGeneration,
  context: RequestsContext,
): boolean =>
  forwarding.route.answer === 'stream' &&
  !isRunnableAgain(forwarding) &&
  attempt.transfer === null &&
  // A generation with a usable backup fails over to it when its endpoint ends.
  !hasUsableBackup(attempt, context);

/**
 * Reports whether a transfer from an endpoint can start within its notice. An endpoint that is lost has
 * none left.
 *
 * @param endpoint - endpoint that runs the generation
 * @param delayMs - time until the start
 * @param context - state and inputs
 * @returns false when it would come too late; true also for an endpoint that does not leave
 */
export const isWithinNotice = (
  endpoint: EndpointRecord,
  delayMs: Millis,
  { inputs }: RequestsContext,
): boolean => {
  const holder = inputs.findHolder(endpoint);
  if (holder.kind === 'lost') return false;
  const { leavingMs } = inputs.getLiveSettings().learnWithin;
  return holder.leavingAt === null || inputs.clock.now() + delayMs < holder.leavingAt + leavingMs;
};

/**
 * Lets a generation wait for its transfer if it resumes at a leaving endpoint, or if its transfer from
 * there failed. Each transfer that fails after the source stopped interrupts the stream, so the delay
 * doubles each time. One that would start after the notice of the endpoint is not tried.
 *
 * @param run - generation
 * @param context - state and inputs
 * @returns effects that schedule the start
 */
export const waitForTransfer = (run: RunningGeneration, context: RequestsContext): Effects => {
  const { attempt, forwarding } = run;
  const { clock, findHolder } = context.inputs;
  const holder = findHolder(attempt.endpoint);
  if (holder.kind === 'lost' || holder.leavingAt === null) return [];
  if (!isTransferNeeded(run, context)) return [];
  const delayMs = TRANSFER_RETRY_MS * 2 ** forwarding.repeatedTransfers;
  if (!isWithinNotice(attempt.endpoint, delayMs, context)) return [];
  const dueAt = clock.now() + delayMs;
  forwarding.repeatedTransfers += 1;
  attempt.transfer = { phase: 'waiting', tries: 0, dueAt };
  return [
    describeTransfer(run, 'waiting', null),
    REPORT_TO_PEERS,
    scheduleNextTransfer(attempt.endpoint.id, delayMs),
  ];
};
