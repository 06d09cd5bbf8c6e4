import { HEDGE_DELAY_SHARE, INITIAL_LAST_EVENT_ID } from './constants.js';
import { removeAttempts } from './answerMemory.js';
import { computeStallTimeout } from './stallTimeout.js';
import { buildCriteria, listCandidates } from './placementInputs.js';
import { recordSent } from './requestLimits.js';
import { NO_LOAD } from './load.js';
import { releaseCopy } from './generationCopy.js';
import type { CopyLocation } from './generationCopy.js';
import { REPORT_TO_PEERS } from './peerReports.js';
import { removeWaiting } from './waitingRoom.js';
import { waitForTransfer } from './transferTurns.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { createByteBlocks } from '../../core/bytes/byteBlocks.js';
import type { EndpointId } from '../../core/ids.js';
import { hasRoom } from '../../decisions/forwarding/crowding.js';
import { createEventSplitter } from '../../decisions/forwarding/eventSplitter.js';
import {
  placeBackup,
  placeAttempt,
  placeTransfer,
} from '../../decisions/forwarding/placeAttempt.js';
import type { Candidate, EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';
import { isResumptionAllowed } from '../../decisions/forwarding/rest.js';
import { isResumableAt } from '../../decisions/forwarding/resumption.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { CopyReference } from '../types.js';

/**
 * Chooses the endpoint of the backup. Only a generation that cannot be restarted needs one; a
 * resumable stream continues after its last event id at any endpoint.
 */
const chooseBackup = (
  forwarding: Forwarding,
  runner: EndpointRecord,
  candidates: readonly Candidate[],
  { inputs }: RequestsContext,
): EndpointRecord | null => {
  const { route } = forwarding;
  if (route.answer !== 'stream' || route.resume === 'resumable') return null;
  const criteria = buildCriteria(forwarding, inputs);
  return placeBackup(candidates, criteria, runner, inputs.random)?.record ?? null;
};

const scheduleChecks = (forwarding: Forwarding, attempt: Attempt): GatewayEffect[] => {
  const { request, route } = forwarding;
  const { key } = request;
  if (route.answer === 'stream') {
    return [
      {
        kind: 'schedule',
        delayMs: computeStallTimeout(forwarding),
        event: { to: 'requests', kind: 'stall-check-due', key, attempt: attempt.number },
      },
    ];
  }
  if (route.repeat !== 'idempotent' || attempt.permit.purpose === 'hedge') return [];
  return [
    {
      kind: 'schedule',
      delayMs: route.targetMs * HEDGE_DELAY_SHARE,
      event: { to: 'requests', kind: 'hedge-due', key, attempt: attempt.number },
    },
  ];
};

/** Endpoint of an attempt, and the copy from which it resumes. */
export interface AttemptPlan {
  readonly endpoint: EndpointRecord;
  /** Load of the endpoint, as far as it is known. */
  readonly load: EndpointLoad;
  /** Whether the engine has room for the request; it has if not given. */
  readonly room?: 'room' | 'crowded';
  /** Endpoints from which the one of the backup is chosen. */
  readonly candidates: readonly Candidate[];
  /** Copy of the generation's memory to resume from; null for other attempts. */
  readonly copy: CopyReference | null;
  /** Copy to resume from if the endpoint refuses. */
  readonly fallback?: CopyLocation;
  /** Endpoints that refused a transfer of the generation; none if not given. */
  readonly refusedTargets?: ReadonlySet<EndpointId>;
}

/**
 * Starts an attempt.
 *
 * @param forwarding - request
 * @param plan - endpoint
 * @param permit - permission to send the request once more
 * @param context - state and inputs
 * @returns effects that send the request
 */
export const openAttempt = (
  forwarding: Forwarding,
  plan: AttemptPlan,
  permit: SendPermit,
  context: RequestsContext,
): Effects => {
  const { state, inputs } = context;
  const { candidates, endpoint, load } = plan;
  const { customer, request, route, service } = forwarding;
  const now = inputs.clock.now();
  removeWaiting(forwarding, context);
  const backup = chooseBackup(forwarding, endpoint, candidates, context);
  forwarding.attemptsMade += 1;
  forwarding.waitingPermit = null;
  forwarding.tried.add(endpoint.id);
  const attempt: Attempt = {
    number: forwarding.attemptsMade,
    endpoint,
    permit,
    startedAt: now,
    start: plan.copy === null ? 'anew' : 'from-copy',
    backup,
    phase: 'connecting',
    sentAt: now,
    head: null,
    body: createByteBlocks(),
    splitter: createEventSplitter(),
    heldBytes: 0,
    lastEventAt: now,
    reportedRun: null,
    events: 0,
    transfer: null,
    copy: null,
    fallback: plan.fallback ?? null,
    refusedTargets: new Set(plan.refusedTargets),
    streamState: 'open',
    failure: null,
    probe: null,
    endProof: 'none',
  };
  forwarding.attempts.set(attempt.number, attempt);
  recordSent(state, endpoint.id, now);
  return [
    {
      kind: 'open-attempt',
      order: {
        key: request.key,
        attempt: attempt.number,
        address: endpoint.address,
        service: endpoint.service,
        startedAt: endpoint.startedAt,
        request,
        head: {
          endpointId: endpoint.id,
          customer: customer?.name ?? null,
          rank: service.engine === null ? null : route.rank,
          lastEventId:
            forwarding.lastEventId ?? (plan.copy === null ? null : INITIAL_LAST_EVENT_ID),
          backup: backup?.address ?? null,
          copy: plan.copy,
        },
      },
    },
    {
      kind: 'log',
      name: 'request-placed',
      details: {
        requestId: request.id,
        endpoint: endpoint.id,
        entity: route.name,
        data: {
          attempt: attempt.number,
          purpose: permit.purpose,
          candidates: candidates.length,
          resting: candidates.filter(({ restGate }) => (restGate?.headroom ?? 1) <= 0).length,
          load: load.requests,
          tokens: load.tokens,
          room: plan.room ?? 'room',
          waitedMs: Math.round(now - request.receivedAt),
          backup: backup?.id ?? '',
          leftMs: Math.round(forwarding.deadlineAt - now),
          promptParts: request.promptParts,
          version: forwarding.configurationVersion,
        },
      },
    },
    // Others would place their next generations there, too, as long as they do not know of this one.
    ...(service.engine === null ? [] : [REPORT_TO_PEERS]),
    ...scheduleChecks(forwarding, attempt),
    ...waitForTransfer({ forwarding, attempt }, context),
  ];
};

const cancelAttempt = ({ request }: Forwarding, attempt: Attempt): Effects => [
  { kind: 'cancel-attempt', key: request.key, attempt: attempt.number },
  ...releaseCopy(attempt),
];

/**
 * Cancels all running attempts of a request.
 *
 * @param forwarding - request
 * @returns effects that close their connections and release their copies
 */
export const cancelAttempts = (forwarding: Forwarding, { state }: RequestsContext): Effects =>
  removeAttempts(forwarding, state).flatMap((attempt) => cancelAttempt(forwarding, attempt));

/**
 * Reports whether a generation may resume at the endpoint that holds its copy.
 *
 * @param holder - endpoint
 * @param context - state and inputs
 * @returns false when the copy is lost, a request would arrive too late, or the endpoint rests
 */
export const isHolderUsable = (
  holder: EndpointRecord,
  { inputs, state }: RequestsContext,
): boolean => {
  const now = inputs.clock.now();
  const rest = inputs.findStatements(holder)?.rest ?? null;
  return (
    isResumableAt(inputs.findHolder(holder), inputs.getResumptionLimits(), now) &&
    isResumptionAllowed(rest, state.sentTimes.get(holder.id) ?? [], now)
  );
};

/**
 * Plans an attempt that resumes a generation at the endpoint that holds its copy. That endpoint may
 * have left the candidates of placements since: it gets no new requests, but finishes what it holds.
 *
 * @param forwarding - request
 * @param location - endpoint that holds the copy, and the reference to it
 * @param context - state and inputs
 * @returns the plan, or null when that endpoint must not be used any more
 */
export const planFromCopy = (
  forwarding: Forwarding,
  { holder, name }: CopyLocation,
  context: RequestsContext,
): AttemptPlan | null => {
  if (!isHolderUsable(holder, context)) return null;
  const candidates = listCandidates(forwarding, context);
  const load = candidates.find(({ record }) => record.id === holder.id)?.load ?? NO_LOAD;
  return { endpoint: holder, load, candidates, copy: name };
};

/**
 * Plans an attempt at another endpoint beside those that are running.
 *
 * @param forwarding - request with a running attempt
 * @param context - state and inputs
 * @returns the plan, or null when no other endpoint has capacity
 */
export const planFurtherAttempt = (
  forwarding: Forwarding,
  context: RequestsContext,
): AttemptPlan | null => {
  const { inputs } = context;
  const running = new Set([...forwarding.attempts.values()].map(({ endpoint }) => endpoint.id));
  const candidates = listCandidates(forwarding, context).filter(
    ({ record }) => !running.has(record.id),
  );
  const criteria = buildCriteria(forwarding, inputs);
  const candidate = placeAttempt(candidates, criteria, inputs.random);
  if (candidate === null || !hasRoom(candidate, criteria, 0)) return null;
  const { load, record } = candidate;
  return { endpoint: record, load, candidates, copy: null };
};

/**
 * Starts an attempt that continues a stream which another attempt began.
 *
 * @param forwarding - request whose attempt ended or is replaced
 * @param plan - endpoint, and the copy of the generation if one is used
 * @param permit - permission to send the request once more
 * @param context - state and inputs
 * @returns effects
 */
export const openContinuation = (
  forwarding: Forwarding,
  plan: AttemptPlan,
  permit: SendPermit,
  context: RequestsContext,
): Effects => {
  // The generation has started before, so a refusal of this attempt does not permit a second run.
  forwarding.verdict = 'may-have-run';
  return openAttempt(forwarding, plan, permit, context);
};

/**
 * Chooses the endpoint to which a running generation is transferred.
 *
 * @param forwarding - request
 * @param attempt - attempt that runs the generation
 * @param context - state and inputs
 * @returns the endpoint, or null when none can be used
 */
export const chooseTransferTarget = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): EndpointRecord | null => {
  const { inputs } = context;
  const criteria = buildCriteria(forwarding, inputs);
  const candidates = listCandidates(forwarding, context).filter(
    ({ record }) => !attempt.refusedTargets.has(record.id),
  );
  return placeTransfer(candidates, criteria, attempt.endpoint, inputs.random)?.record ?? null;
};
