import { chooseTransferTarget, continueFromCopy } from './attempts.js';
import {
  MAX_TRANSFER_TARGETS,
  TRANSFER_CHECK_MS,
  TRANSFER_RETRY_MS,
  TRANSFER_WAIT_MS,
} from './constants.js';
import { countOwnCopies } from './load.js';
import { endAttempt } from './retrying.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { GatewayEffect } from '../events.js';
import type { CopyName, TransferOrder, TransferResult } from '../types.js';

const orderTransfer = (
  forwarding: Forwarding,
  attempt: Attempt,
  mode: TransferOrder['mode'],
): GatewayEffect[] => {
  if (attempt.transfer === null) return [];
  const { request } = forwarding;
  const source = attempt.endpoint.address;
  const target = attempt.transfer.target.address;
  return [
    {
      kind: 'start-transfer',
      key: request.key,
      attempt: attempt.number,
      order: { requestId: request.id, source, target, mode },
    },
  ];
};

const describeTransfer = (
  forwarding: Forwarding,
  attempt: Attempt,
  step: string,
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
      target: attempt.transfer?.target.id ?? '',
      lastEventId: forwarding.lastEventId ?? '',
    },
  },
});

const scheduleCheck = (
  { request }: Forwarding,
  attempt: Attempt,
  delayMs: Millis,
): GatewayEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'requests', kind: 'transfer-due', key: request.key, attempt: attempt.number },
});

const isUsableBackup = ({ backup }: Attempt, context: RequestsContext): boolean =>
  backup !== null &&
  context.inputs
    .listEndpoints(backup.service)
    .some(({ record }) => record.id === backup.id && record.phase === 'ready');

const startCopy = (forwarding: Forwarding, attempt: Attempt, context: RequestsContext): Effects => {
  const target =
    attempt.refusedTargets.size < MAX_TRANSFER_TARGETS
      ? chooseTransferTarget(forwarding, attempt, context)
      : null;
  if (target === null) {
    attempt.transfer = null;
    return [describeTransfer(forwarding, attempt, 'no-target')];
  }
  const startedAt = attempt.transfer?.startedAt ?? context.inputs.clock.now();
  attempt.transfer = { target, phase: 'copying', startedAt };
  return [
    ...orderTransfer(forwarding, attempt, 'copy'),
    describeTransfer(forwarding, attempt, 'started'),
  ];
};

/**
 * Begins to take a generation away from an endpoint that leaves. One with a usable copy needs no
 * transfer: it goes on there when its endpoint ends.
 */
const startTransfer = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const { route } = forwarding;
  const isSingleRun = route.answer === 'stream' && route.resume === 'single-run';
  if (!isSingleRun || attempt.transfer !== null || isUsableBackup(attempt, context)) return [];
  return startCopy(forwarding, attempt, context);
};

/**
 * Begins to take the generations of an endpoint elsewhere.
 *
 * @param endpoint - endpoint that leaves
 * @param context - state and inputs
 * @returns effects
 */
export const leaveEndpoint = (endpoint: EndpointId, context: RequestsContext): Effects =>
  [...context.state.table.values()].flatMap((forwarding) =>
    [...forwarding.attempts.values()]
      .filter((attempt) => attempt.endpoint.id === endpoint)
      .flatMap((attempt) => startTransfer(forwarding, attempt, context)),
  );

const goOn = (
  forwarding: Forwarding,
  attempt: Attempt,
  endpoint: Attempt['endpoint'],
  copy: CopyName,
  context: RequestsContext,
): Effects => {
  const { key } = forwarding.request;
  forwarding.attempts.delete(attempt.number);
  const continued = continueFromCopy(forwarding, endpoint, copy, context);
  if (continued !== null) {
    return [{ kind: 'cancel-attempt', key, attempt: attempt.number }, ...continued];
  }
  forwarding.attempts.set(attempt.number, attempt);
  attempt.transfer = null;
  const end = { kind: 'broken', message: 'the endpoint of the copy is gone' } as const;
  return [
    { kind: 'cancel-attempt', key, attempt: attempt.number },
    ...endAttempt(forwarding, attempt, end, context),
  ];
};

const isLinkFree = ({ endpoint }: Attempt, { inputs, state }: RequestsContext): boolean =>
  (countOwnCopies(state).get(endpoint.id) ?? 0) + inputs.countPeerCopies(endpoint.id) === 0;

/**
 * Stops the source of a complete copy once no other copy uses its link. What the source made in
 * the meantime would else wait behind whole copies, and the caller with it.
 *
 * @param forwarding - request
 * @param attempt - attempt at the source
 * @param context - state and inputs
 * @returns effects
 */
export const checkTransfer = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const { transfer } = attempt;
  if (transfer === null) return [];
  switch (transfer.phase) {
    case 'copying':
      return orderTransfer(forwarding, attempt, 'copy');
    case 'stopping':
      return [];
    case 'copied': {
      const waitedMs = context.inputs.clock.now() - transfer.startedAt;
      if (waitedMs < TRANSFER_WAIT_MS && !isLinkFree(attempt, context)) {
        return [scheduleCheck(forwarding, attempt, TRANSFER_CHECK_MS)];
      }
      attempt.transfer = { ...transfer, phase: 'stopping' };
      return orderTransfer(forwarding, attempt, 'stop');
    }
    default:
      return assertNever(transfer.phase);
  }
};

const handleCopied = (
  forwarding: Forwarding,
  attempt: Attempt,
  handle: string,
  context: RequestsContext,
): Effects => {
  const { transfer } = attempt;
  if (transfer === null) return [];
  const described = describeTransfer(forwarding, attempt, `${transfer.phase}-done`);
  switch (transfer.phase) {
    case 'copying':
      attempt.transfer = { ...transfer, phase: 'copied' };
      return [described, ...checkTransfer(forwarding, attempt, context)];
    case 'copied':
      return [];
    case 'stopping': {
      const copy = { address: attempt.endpoint.address, handle };
      return [described, ...goOn(forwarding, attempt, transfer.target, copy, context)];
    }
    default:
      return assertNever(transfer.phase);
  }
};

/**
 * Takes the result of a step of a transfer.
 *
 * @param forwarding - request
 * @param attempt - attempt at the source
 * @param result - how the step ended
 * @param context - state and inputs
 * @returns effects
 */
export const endTransferStep = (
  forwarding: Forwarding,
  attempt: Attempt,
  result: TransferResult,
  context: RequestsContext,
): Effects => {
  const { transfer } = attempt;
  if (transfer === null) return [];
  switch (result.kind) {
    case 'copied':
      return handleCopied(forwarding, attempt, result.handle, context);
    case 'no-room': {
      const described = describeTransfer(forwarding, attempt, 'no-room');
      attempt.refusedTargets.add(transfer.target.id);
      if (transfer.phase === 'copying') {
        return [described, ...startCopy(forwarding, attempt, context)];
      }
      if (result.handle === null) {
        attempt.transfer = null;
        return [described];
      }
      // The source stopped and keeps the memory, so the generation goes on where it was.
      const copy = { address: attempt.endpoint.address, handle: result.handle };
      return [described, ...goOn(forwarding, attempt, attempt.endpoint, copy, context)];
    }
    case 'not-running':
    case 'failed': {
      // A generation that was preempted runs again soon.
      if (result.kind === 'not-running' && transfer.phase === 'copying') {
        attempt.refusedTargets.add(transfer.target.id);
        const again = attempt.refusedTargets.size < MAX_TRANSFER_TARGETS;
        const check = scheduleCheck(forwarding, attempt, TRANSFER_RETRY_MS);
        if (again) return [describeTransfer(forwarding, attempt, 'not-running'), check];
      }
      const reason = result.kind === 'failed' ? result.message : result.kind;
      const described = describeTransfer(forwarding, attempt, reason);
      const wasStopping = transfer.phase === 'stopping';
      attempt.transfer = null;
      if (!wasStopping || attempt.streamState === 'open') return [described];
      const end = { kind: 'broken', message: 'the transfer failed' } as const;
      return [described, ...endAttempt(forwarding, attempt, end, context)];
    }
    default:
      return assertNever(result);
  }
};

/**
 * Tells whether the end of a stream is that of a source which a transfer stopped.
 *
 * @param attempt - attempt whose stream ended
 * @returns `wait` when the result of the transfer is still to come
 */
export const checkStopped = (attempt: Attempt): 'wait' | 'ended' => {
  if (attempt.transfer?.phase !== 'stopping') return 'ended';
  attempt.streamState = 'ended';
  return 'wait';
};
