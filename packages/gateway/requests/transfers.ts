import { removeAttempt } from './answerMemory.js';
import { cancelAttempts, isHolderUsable, openContinuation, planFromCopy } from './attempts.js';
import { MAX_TRANSFER_TRIES, TRANSFER_RETRY_MS } from './constants.js';
import { finishStream } from './outcomes.js';
import { endAttempt } from './retrying.js';
import { findStop, removeStopOf } from './stopState.js';
import { findMissingPart } from './streamEnd.js';
import { orderTransfer } from './transferStarts.js';
import { releaseCopy } from './generationCopy.js';
import { REPORT_TO_PEERS } from './peerReports.js';
import { waitForTransfer, describeTransfer, scheduleNextTransfer } from './transferTurns.js';
import type { RunningGeneration } from './transferTurns.js';
import type { Attempt, Effects, Forwarding, RequestsContext, StartedTransfer } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { releaseSend } from '../../decisions/forwarding/sendPermits.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { EndpointIncarnation, EndpointRecord } from '../../decisions/forwarding/types.js';
import type { RequestsEvent } from '../events.js';
import type { CopyReference, TransferResult } from '../types.js';

/** Ends a transfer, so that the next one from the same endpoint can start. */
const endTransfer = ({ attempt }: RunningGeneration): Effects => {
  attempt.transfer = null;
  return [REPORT_TO_PEERS, scheduleNextTransfer(attempt.endpoint.id, 0)];
};

/** Ends a transfer after which the request is not sent to its target. */
const cancelTransfer = (run: RunningGeneration, { permit }: StartedTransfer): Effects => {
  releaseSend(permit);
  return endTransfer(run);
};

const resumeAfterTransfer = (
  run: RunningGeneration,
  endpoint: EndpointRecord,
  copy: CopyReference,
  permit: SendPermit,
  context: RequestsContext,
): Effects => {
  const { attempt, forwarding } = run;
  const { key } = forwarding.request;
  const fallback = { holder: attempt.endpoint, name: copy };
  // Without its target, as when the data centre was taken out meanwhile, the source can go on.
  const plan =
    planFromCopy(forwarding, { holder: endpoint, name: copy }, context) ??
    planFromCopy(forwarding, fallback, context);
  if (plan !== null) {
    removeAttempt(forwarding, attempt, context.state);
    const isBack = plan.endpoint.id === attempt.endpoint.id;
    const refused = isBack ? { refusedTargets: attempt.refusedTargets } : {};
    const opened = { ...plan, fallback, ...refused };
    return [
      { kind: 'cancel-attempt', key, attempt: attempt.number },
      ...openContinuation(forwarding, opened, permit, context),
    ];
  }
  releaseSend(permit);
  const end = {
    kind: 'broken',
    message: 'the endpoint that holds the copy is not available',
  } as const;
  return [
    { kind: 'cancel-attempt', key, attempt: attempt.number },
    ...endAttempt(forwarding, attempt, end, context),
  ];
};

/** Schedules another try of a failed transfer, or gives up after `MAX_TRANSFER_TRIES`. */
const retryTransfer = (
  run: RunningGeneration,
  transfer: StartedTransfer,
  reason: string,
  context: RequestsContext,
): Effects => {
  const { attempt } = run;
  const { tries, target } = transfer;
  const released = [
    describeTransfer(run, reason, target),
    ...cancelTransfer(run, transfer),
    ...releaseCopy(attempt),
  ];
  if (tries >= MAX_TRANSFER_TRIES) return released;
  const dueAt = context.inputs.clock.now() + TRANSFER_RETRY_MS;
  attempt.transfer = { phase: 'waiting', tries, dueAt };
  return released;
};

const handleCopied = (
  run: RunningGeneration,
  transfer: StartedTransfer,
  handle: string,
  context: RequestsContext,
): Effects => {
  const { attempt } = run;
  const { permit, target } = transfer;
  switch (transfer.phase) {
    case 'copying': {
      // If the second copy fails, the generation resumes from the first.
      attempt.copy = { holder: target, handle };
      if (!isHolderUsable(target, context)) {
        return retryTransfer(run, transfer, 'target-lost', context);
      }
      attempt.transfer = { ...transfer, phase: 'stopping' };
      return [orderTransfer(run, target, 'stop'), describeTransfer(run, 'stopping', target)];
    }
    case 'stopping': {
      attempt.copy = null;
      const copy = { kind: 'transfer', source: attempt.endpoint.address, handle } as const;
      const described = describeTransfer(run, 'moved', target);
      const ended = endTransfer(run);
      return [described, ...ended, ...resumeAfterTransfer(run, target, copy, permit, context)];
    }
    default:
      return assertNever(transfer.phase);
  }
};

const failTransfer = (
  run: RunningGeneration,
  transfer: StartedTransfer,
  reason: string,
  context: RequestsContext,
): Effects => {
  const { attempt, forwarding } = run;
  const released = [
    describeTransfer(run, reason, transfer.target),
    ...cancelTransfer(run, transfer),
  ];
  if (attempt.streamState === 'open') {
    // From a first copy the generation resumes when its source ends.
    return attempt.copy === null ? [...released, ...waitForTransfer(run, context)] : released;
  }
  const end = { kind: 'broken', message: 'the transfer failed' } as const;
  return [...released, ...endAttempt(forwarding, attempt, end, context)];
};

/**
 * Ends a transfer whose source does not run the generation any more. A stream that ended by itself
 * before the order to stop is complete.
 */
const endFinishedTransfer = (
  run: RunningGeneration,
  transfer: StartedTransfer,
  context: RequestsContext,
): Effects => {
  const { attempt, forwarding } = run;
  if (attempt.streamState !== 'ended' || findMissingPart(forwarding, attempt) !== null) {
    return failTransfer(run, transfer, 'not-running', context);
  }
  removeAttempt(forwarding, attempt, context.state);
  removeStopOf(forwarding.request.key, attempt.number, context);
  return [
    describeTransfer(run, 'finished', transfer.target),
    ...cancelTransfer(run, transfer),
    ...releaseCopy(attempt),
    ...cancelAttempts(forwarding, context),
    ...finishStream(forwarding, attempt, context),
  ];
};

const endTransferStep = (
  run: RunningGeneration,
  result: TransferResult,
  context: RequestsContext,
): Effects => {
  const { attempt } = run;
  const { transfer } = attempt;
  if (transfer === null || transfer.phase === 'waiting') return [];
  switch (result.kind) {
    case 'copied':
      return handleCopied(run, transfer, result.handle, context);
    case 'no-room':
      attempt.refusedTargets.add(transfer.target.id);
      if (transfer.phase === 'copying') return retryTransfer(run, transfer, 'no-room', context);
      if (result.handle === null) return failTransfer(run, transfer, 'no-room', context);
      // The source stopped the generation but still has its memory, so it resumes there.
      attempt.copy = null;
      return [
        describeTransfer(run, 'back-at-source', attempt.endpoint),
        ...endTransfer(run),
        ...resumeAfterTransfer(
          run,
          attempt.endpoint,
          { kind: 'transfer', source: attempt.endpoint.address, handle: result.handle },
          transfer.permit,
          context,
        ),
      ];
    case 'not-running':
      // The generation waits for its first token or was preempted, and will run soon.
      return transfer.phase === 'copying'
        ? retryTransfer(run, transfer, 'not-running', context)
        : endFinishedTransfer(run, transfer, context);
    case 'refused':
    case 'unreachable':
    case 'failed':
      return failTransfer(run, transfer, result.message, context);
    default:
      return assertNever(result);
  }
};

/**
 * Handles the result of a step of a transfer whose generation ended meanwhile: the copy is not used,
 * and the next generation has its turn.
 */
const endUnusedStep = (source: EndpointIncarnation, result: TransferResult): Effects => {
  const released: Effects =
    result.kind === 'copied' ? [{ kind: 'release-copy', source, handle: result.handle }] : [];
  return [...released, REPORT_TO_PEERS, scheduleNextTransfer(source.id, 0)];
};

/**
 * Handles the result of one step of a transfer.
 *
 * @param event - generation, source and how the step ended
 * @param context - state and inputs
 * @returns effects
 */
export const handleTransferResult = (
  { attempt: number, key, result, source }: Extract<RequestsEvent, { kind: 'transfer-ended' }>,
  context: RequestsContext,
): Effects => {
  const forwarding = context.state.inFlight.get(key);
  const attempt = forwarding?.attempts.get(number);
  return forwarding === undefined || attempt === undefined
    ? endUnusedStep(source, result)
    : endTransferStep({ forwarding, attempt }, result, context);
};

/**
 * Checks whether a stream ended early because a transfer or an order to stop has ended its generation, and
 * records it.
 *
 * @param forwarding - request with a stream
 * @param attempt - attempt whose stream ended early
 * @param end - how it ended
 * @param context - state
 * @returns `wait` when the result of the transfer or of the order is pending, else `ended`
 */
export const checkStreamEnd = (
  { request }: Forwarding,
  attempt: Attempt,
  end: 'ended' | 'broken',
  context: RequestsContext,
): 'wait' | 'ended' => {
  const stop = findStop(request.key, attempt.number, context);
  if (attempt.transfer?.phase !== 'stopping' && stop?.order !== 'pending') return 'ended';
  attempt.streamState = end;
  return 'wait';
};
