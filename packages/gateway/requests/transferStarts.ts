import { chooseTransferTarget } from './attempts.js';
import {
  TRANSFER_BUDGET_RETRY_MS,
  TRANSFER_CHECK_MS,
  TRANSFER_RETRY_MS,
  TRANSFER_START_DELAY_MS,
} from './constants.js';
import { computeTransferPriority } from './load.js';
import { REPORT_TO_PEERS } from './peerReports.js';
import { decideFurtherSend } from './sendDecisions.js';
import { findStop } from './stopState.js';
import { buildTransfer } from './transferOrders.js';
import { describeTransfer, isTransferNeeded, scheduleNextTransfer } from './transferTurns.js';
import type { RunningGeneration } from './transferTurns.js';
import type { Effects, RequestsContext, Transfer } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { TransferOrder } from '../types.js';

/**
 * Orders the engine of a generation to copy its memory.
 *
 * @param run - generation
 * @param target - endpoint that receives the copy
 * @param mode - whether the engine goes on with the generation
 * @returns the order
 */
export const orderTransfer = (
  run: RunningGeneration,
  target: EndpointRecord,
  mode: TransferOrder['mode'],
): GatewayEffect => ({ kind: 'start-transfer', ...buildTransfer(run, target, mode) });

const listGenerationsAt = (
  source: EndpointId,
  { state }: RequestsContext,
): readonly RunningGeneration[] =>
  [...state.inFlight.values()].flatMap((forwarding) =>
    [...forwarding.attempts.values()]
      .filter((attempt) => attempt.endpoint.id === source)
      .map((attempt) => ({ forwarding, attempt })),
  );

const comparePriority = (left: RunningGeneration, right: RunningGeneration): number =>
  computeTransferPriority(right.forwarding) - computeTransferPriority(left.forwarding);

/**
 * Starts to transfer the generations of a leaving endpoint to others. All daemons together transfer
 * one generation at a time from an endpoint, since the transfers share its network link. Otherwise
 * a stopped generation would be interrupted for longer: the tokens that it produced since its first
 * copy would queue on the link behind the copies of other generations.
 *
 * @param source - endpoint that is leaving
 * @param context - state and inputs
 * @returns effects
 */
export const drainEndpoint = (source: EndpointId, context: RequestsContext): Effects => {
  const leaving = listGenerationsAt(source, context).filter((run) =>
    isTransferNeeded(run, context),
  );
  if (leaving.length === 0) return [];
  const dueAt = context.inputs.clock.now();
  for (const { attempt } of leaving) attempt.transfer = { phase: 'waiting', tries: 0, dueAt };
  return [
    ...leaving.map((run) => describeTransfer(run, 'waiting', null)),
    REPORT_TO_PEERS,
    scheduleNextTransfer(source, TRANSFER_START_DELAY_MS),
  ];
};

const isTransferring = ({ attempt }: RunningGeneration): boolean =>
  attempt.transfer !== null && attempt.transfer.phase !== 'waiting';

type WaitingTransfer = Extract<Transfer, { phase: 'waiting' }>;

/** Lets a transfer that cannot start wait, so that the next one from the same endpoint can start. */
const holdTransfer = (
  run: RunningGeneration,
  waiting: WaitingTransfer,
  reason: string,
  dueAt: Millis,
): Effects => {
  const { attempt } = run;
  attempt.transfer = { ...waiting, dueAt };
  return [
    describeTransfer(run, reason, null),
    REPORT_TO_PEERS,
    scheduleNextTransfer(attempt.endpoint.id, 0),
  ];
};

const startCopy = (
  run: RunningGeneration,
  waiting: WaitingTransfer,
  context: RequestsContext,
): Effects => {
  const { attempt, forwarding } = run;
  const now = context.inputs.clock.now();
  const target = chooseTransferTarget(forwarding, attempt, context);
  if (target === null) {
    // All endpoints refused; they are tried again, since generations that end there free memory.
    attempt.refusedTargets.clear();
    return holdTransfer(run, waiting, 'no-target', now + TRANSFER_RETRY_MS);
  }
  const { decision, effects } = decideFurtherSend(forwarding, { kind: 'transfer' }, context);
  if (decision.kind === 'denied') {
    const dueAt = now + TRANSFER_BUDGET_RETRY_MS;
    return [...effects, ...holdTransfer(run, waiting, 'budget-spent', dueAt)];
  }
  const { permit } = decision;
  attempt.transfer = { phase: 'copying', target, tries: waiting.tries + 1, permit };
  return [...effects, orderTransfer(run, target, 'copy'), describeTransfer(run, 'copying', target)];
};

/**
 * Starts the next transfer from a leaving endpoint, unless one is in progress or a peer's
 * generation has a higher priority.
 *
 * @param source - endpoint that is leaving
 * @param context - state and inputs
 * @returns effects
 */
export const startNextTransfer = (source: EndpointId, context: RequestsContext): Effects => {
  const now = context.inputs.clock.now();
  const runs = listGenerationsAt(source, context);
  if (runs.some(isTransferring)) return [];
  const waiting = runs
    .filter(({ attempt }) => attempt.transfer?.phase === 'waiting')
    .sort(comparePriority);
  if (waiting.length === 0) return [];
  const next = waiting.find(
    ({ attempt, forwarding }) =>
      attempt.transfer?.phase === 'waiting' &&
      attempt.transfer.dueAt <= now &&
      // Its engine is ordered to stop it, and answers a second order with a failure.
      findStop(forwarding.request.key, attempt.number, context) === null &&
      // A continuation under way takes over or ends first; a transfer beside it would be a third run.
      forwarding.attempts.size === 1,
  );
  if (
    next === undefined ||
    context.inputs.hasPeerWithHigherPriority(source, computeTransferPriority(next.forwarding))
  ) {
    return [scheduleNextTransfer(source, TRANSFER_CHECK_MS)];
  }
  const { transfer } = next.attempt;
  return transfer?.phase === 'waiting' ? startCopy(next, transfer, context) : [];
};

/**
 * Stops a generation by an order on a new connection, and lets it resume from its memory elsewhere.
 * Unlike the close of the attempt's connection, the order is answered once the run has stopped.
 *
 * @param run - generation whose connection fell silent
 * @param context - state and inputs
 * @returns effects; null without an endpoint that can take the memory, or when the budget is spent
 */
export const transferAtOnce = (
  run: RunningGeneration,
  context: RequestsContext,
): Effects | null => {
  const { attempt, forwarding } = run;
  const target = chooseTransferTarget(forwarding, attempt, context);
  if (target === null) return null;
  const { decision, effects } = decideFurtherSend(forwarding, { kind: 'transfer' }, context);
  if (decision.kind === 'denied') return null;
  attempt.transfer = { phase: 'stopping', target, tries: 1, permit: decision.permit };
  return [
    ...effects,
    orderTransfer(run, target, 'stop'),
    describeTransfer(run, 'stopping', target),
  ];
};
