import { openAttempt } from './attempts.js';
import {
  MAX_CAPACITY_WAIT_SHARE,
  MAX_PLACEMENT_WAIT_SHARE,
  PLACEMENT_RETRY_MS,
} from './constants.js';
import { checkRequestContent } from './content.js';
import { buildCriteria, listCandidates } from './placementInputs.js';
import type { Effects, Forwarding, RequestsContext } from './types.js';
import { refuseOverloaded, refuseQuarantined, refuseResting, refuseUnplaced } from './unplaced.js';
import type { Millis } from '../../core/clock.js';
import {
  hasCapacity,
  isOverloaded,
  placeAttempt,
} from '../../decisions/forwarding/placeAttempt.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import { findEarliestReturn } from '../../decisions/forwarding/restingService.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { GatewayEffect } from '../events.js';

/** A wait until the deadline would end with a timeout, which does not tell that the request has not run. */
const getLastPlacementAt = ({ deadlineAt }: Forwarding): Millis => deadlineAt - PLACEMENT_RETRY_MS;

/** Lets a request wait for an endpoint, or refuses it if the wait is too long or cannot help. */
const waitOrRefuse = (
  forwarding: Forwarding,
  candidates: readonly Candidate[],
  retryPlacement: GatewayEffect,
  context: RequestsContext,
): Effects => {
  const { request, route } = forwarding;
  const waitUntil = Math.min(
    request.receivedAt + route.targetMs * MAX_PLACEMENT_WAIT_SHARE,
    getLastPlacementAt(forwarding),
  );
  const returnAt = findEarliestReturn(candidates);
  // Only the end of their rest helps, so a request that cannot wait for it is refused at once.
  if (returnAt !== null && returnAt > waitUntil)
    return refuseResting(forwarding, returnAt, context);
  if (context.inputs.clock.now() < waitUntil) return [retryPlacement];
  const isLimited = candidates.some(
    ({ limitHeadroom, restGate }) => limitHeadroom !== null || restGate !== null,
  );
  if (isLimited) return refuseOverloaded(forwarding, context);
  return refuseUnplaced(forwarding, 'no endpoint of the service is available', context);
};

/**
 * Places a request at an endpoint, schedules another try, or refuses it after the longest permitted
 * wait.
 *
 * @param forwarding - request without a running attempt
 * @param permit - permission to send it, which it keeps while it waits
 * @param context - state and inputs
 * @returns effects
 */
export const placeRequest = (
  forwarding: Forwarding,
  permit: SendPermit,
  context: RequestsContext,
): Effects => {
  const { inputs } = context;
  const now = inputs.clock.now();
  forwarding.waitingPermit = permit;
  const content = checkRequestContent(forwarding.request, inputs);
  if (content.kind === 'quarantined') return refuseQuarantined(forwarding, content, context);
  const candidates = listCandidates(forwarding, context);
  const criteria = buildCriteria(forwarding, inputs);
  const candidate = placeAttempt(candidates, criteria, inputs.random);
  const { request, route } = forwarding;
  const waitedMs = now - request.receivedAt;
  const event = { to: 'requests', kind: 'placement-due', key: request.key } as const;
  const retryPlacement: GatewayEffect = { kind: 'schedule', delayMs: PLACEMENT_RETRY_MS, event };
  if (candidate !== null) {
    // A running request may end soon and free capacity, whereas a preemption would delay one.
    const isWaitingForCapacity =
      !hasCapacity(candidate, criteria) &&
      waitedMs < route.targetMs * MAX_CAPACITY_WAIT_SHARE &&
      now < getLastPlacementAt(forwarding);
    if (isWaitingForCapacity) return [retryPlacement];
    if (isOverloaded(candidate, criteria)) return refuseOverloaded(forwarding, context);
    const { load, record } = candidate;
    const plan = { endpoint: record, load, candidates, copy: null };
    return openAttempt(forwarding, plan, permit, context);
  }
  return waitOrRefuse(forwarding, candidates, retryPlacement, context);
};
