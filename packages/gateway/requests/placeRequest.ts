import { openAttempt } from './attempts.js';
import { MAX_PLACEMENT_WAIT_SHARE, MAX_ROOM_WAIT_SHARE, PLACEMENT_RETRY_MS } from './constants.js';
import { checkRequestContent } from './content.js';
import { buildCriteria, listCandidates } from './placementInputs.js';
import type { Effects, Forwarding, RequestsContext } from './types.js';
import { refuseOverloaded, refuseQuarantined, refuseResting, refuseUnplaced } from './unplaced.js';
import { isPreceded, removeWaiting, serveRoom, waitForRoom } from './waitingRoom.js';
import type { Millis } from '../../core/clock.js';
import { computeReserve, hasRoom, updateUrgentNeed } from '../../decisions/forwarding/crowding.js';
import {
  estimatePeakTokens,
  isOverloaded,
  placeAttempt,
} from '../../decisions/forwarding/placeAttempt.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import { addUse } from '../../decisions/forwarding/recentUse.js';
import { findEarliestReturn } from '../../decisions/forwarding/restingService.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';

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

/** Instant at which a request that waits for room is sent to a crowded engine all the same. */
const getLastRoomAt = (forwarding: Forwarding, urgency: 'first' | 'yields'): Millis => {
  const { request, route } = forwarding;
  const waitMs = route.targetMs * MAX_ROOM_WAIT_SHARE[urgency];
  return Math.min(request.receivedAt + waitMs, getLastPlacementAt(forwarding));
};

const findUrgency = (forwarding: Forwarding, { inputs }: RequestsContext): 'first' | 'yields' => {
  const topRank = inputs.getRoutingTable()?.topRanks.get(forwarding.service.name) ?? 0;
  return forwarding.route.rank <= topRank ? 'first' : 'yields';
};

/** Memory that a request leaves free in each engine for the most urgent ones of its service. */
const findReserve = (
  { service }: Forwarding,
  urgency: 'first' | 'yields',
  { state }: RequestsContext,
): number =>
  urgency === 'first'
    ? 0
    : computeReserve(
        state.urgentNeeds.get(service.name) ?? null,
        service.engine?.memoryTokens ?? 0,
      );

/** Only generations wait for room, so only they wait for their turn. */
const isBehind = (forwarding: Forwarding, context: RequestsContext): boolean =>
  forwarding.service.engine !== null &&
  forwarding.request.demand !== null &&
  isPreceded(forwarding, context);

const recordUse = (
  { customer, request, service }: Forwarding,
  urgency: 'first' | 'yields',
  { inputs, state }: RequestsContext,
): void => {
  if (request.demand === null) return;
  const tokens = estimatePeakTokens(request.demand);
  if (customer !== null) addUse(state.recentUse, customer.name, tokens, inputs.clock.now());
  if (urgency === 'yields') return;
  const mean = state.urgentNeeds.get(service.name) ?? null;
  state.urgentNeeds.set(service.name, updateUrgentNeed(mean, tokens));
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
  const urgency = findUrgency(forwarding, context);
  const reserved = findReserve(forwarding, urgency, context);
  const untriedWithRoom = candidates.filter(
    (candidate) =>
      !forwarding.tried.has(candidate.record.id) && hasRoom(candidate, criteria, reserved),
  );
  const candidate =
    placeAttempt(untriedWithRoom, criteria, inputs.random) ??
    placeAttempt(candidates, criteria, inputs.random);
  const { request } = forwarding;
  if (candidate === null) {
    const event = { to: 'requests', kind: 'placement-due', key: request.key } as const;
    const retryPlacement = { kind: 'schedule', delayMs: PLACEMENT_RETRY_MS, event } as const;
    removeWaiting(forwarding, context);
    return waitOrRefuse(forwarding, candidates, retryPlacement, context);
  }
  const room = hasRoom(candidate, criteria, reserved) ? 'room' : 'crowded';
  const isWaiting = room === 'crowded' || isBehind(forwarding, context);
  const waitUntil = getLastRoomAt(forwarding, urgency);
  // A running request may end soon and free room, whereas a preemption would delay one.
  if (isWaiting && now < waitUntil) return waitForRoom(forwarding, waitUntil, context);
  if (isOverloaded(candidate, criteria)) return refuseOverloaded(forwarding, context);
  recordUse(forwarding, urgency, context);
  const { load, record } = candidate;
  const plan = { endpoint: record, load, candidates, copy: null, room } as const;
  return openAttempt(forwarding, plan, permit, context);
};

/**
 * Tries to place the requests of a service that wait for room.
 *
 * @param service - service
 * @param context - state and inputs
 * @returns effects
 */
export const placeWaiting = (service: ServiceName, context: RequestsContext): Effects =>
  serveRoom(service, context, (forwarding) =>
    forwarding.waitingPermit === null
      ? []
      : placeRequest(forwarding, forwarding.waitingPermit, context),
  );
