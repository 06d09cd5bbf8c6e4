import { MAX_PLACED_AT_ONCE, PLACEMENT_RETRY_MS } from './constants.js';
import type { Effects, Forwarding, RequestsContext, RoomWait } from './types.js';
import type { Millis } from '../../core/clock.js';
import { compareWaiting } from '../../decisions/forwarding/crowding.js';
import type { WaitingRequest } from '../../decisions/forwarding/crowding.js';
import { computeUseShare } from '../../decisions/forwarding/recentUse.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';

const describeWaiting = (
  forwarding: Forwarding,
  { inputs, state }: RequestsContext,
): WaitingRequest => {
  const { customer, request, route } = forwarding;
  return {
    customerRank: customer?.rank ?? 0,
    rank: route.rank,
    targetAt: request.receivedAt + route.targetMs,
    targetMs: route.targetMs,
    customerShare:
      customer === null ? 0 : computeUseShare(state.recentUse, customer.name, inputs.clock.now()),
  };
};

/** A request that waits for room, and its wait. */
interface WaitingForwarding {
  readonly forwarding: Forwarding;
  readonly wait: RoomWait;
}

const listWaiting = (
  service: ServiceName,
  { state }: RequestsContext,
): readonly WaitingForwarding[] =>
  [...(state.waiting.get(service) ?? [])].flatMap((key) => {
    const forwarding = state.inFlight.get(key);
    const wait = forwarding?.roomWait ?? null;
    return forwarding === undefined || wait === null ? [] : [{ forwarding, wait }];
  });

/**
 * Reports whether a request that waits for room comes before another one of its service.
 *
 * @param forwarding - request that would be placed
 * @param context - state and inputs
 * @returns true when it has to wait for its turn
 */
export const isPreceded = (forwarding: Forwarding, context: RequestsContext): boolean => {
  const others = listWaiting(forwarding.service.name, context);
  if (others.length === 0) return false;
  const own = forwarding.roomWait?.waiting ?? describeWaiting(forwarding, context);
  return others.some(
    (other) => other.forwarding !== forwarding && compareWaiting(other.wait.waiting, own) < 0,
  );
};

const scheduleRoom = (service: ServiceName, { state }: RequestsContext): Effects => {
  if (state.scheduledRooms.has(service)) return [];
  state.scheduledRooms.add(service);
  const event = { to: 'requests', kind: 'room-due', service } as const;
  return [{ kind: 'schedule', delayMs: PLACEMENT_RETRY_MS, event }];
};

const describeWait = (forwarding: Forwarding, until: Millis, waiting: number): GatewayEffect => ({
  kind: 'log',
  name: 'request-waiting',
  details: {
    requestId: forwarding.request.id,
    entity: forwarding.route.name,
    data: {
      customerRank: forwarding.customer?.rank ?? 0,
      rank: forwarding.route.rank,
      waiting,
      forMs: Math.round(until - forwarding.request.receivedAt),
    },
  },
});

/**
 * Lets a request wait for room in an engine of its service.
 *
 * @param forwarding - request
 * @param until - instant at which it is sent all the same
 * @param context - state and inputs
 * @returns a log line for a new wait, and the timer of the service
 */
export const waitForRoom = (
  forwarding: Forwarding,
  until: Millis,
  context: RequestsContext,
): Effects => {
  const { name } = forwarding.service;
  const keys = context.state.waiting.get(name) ?? new Set<number>();
  const isNew = forwarding.roomWait === null;
  forwarding.roomWait ??= { until, waiting: describeWaiting(forwarding, context) };
  keys.add(forwarding.request.key);
  context.state.waiting.set(name, keys);
  return [
    ...(isNew ? [describeWait(forwarding, until, keys.size)] : []),
    ...scheduleRoom(name, context),
  ];
};

/**
 * Ends the wait of a request.
 *
 * @param forwarding - request that is placed or has ended
 * @param context - state
 */
export const removeWaiting = (
  forwarding: Forwarding,
  { state }: Pick<RequestsContext, 'state'>,
): void => {
  forwarding.roomWait = null;
  const keys = state.waiting.get(forwarding.service.name);
  keys?.delete(forwarding.request.key);
  if (keys?.size === 0) state.waiting.delete(forwarding.service.name);
};

/**
 * Tries to place the requests that wait for room, in their order. Only the first ones are tried, and those
 * that must not wait any longer, so that the work does not grow with the number that waits.
 *
 * @param service - service
 * @param context - state and inputs
 * @param place - places a request, or lets it wait again
 * @returns effects
 */
export const serveRoom = (
  service: ServiceName,
  context: RequestsContext,
  place: (forwarding: Forwarding) => Effects,
): Effects => {
  const { inputs, state } = context;
  state.scheduledRooms.delete(service);
  const now = inputs.clock.now();
  const ordered = [...listWaiting(service, context)].sort((left, right) =>
    compareWaiting(left.wait.waiting, right.wait.waiting),
  );
  const placed = ordered.flatMap(({ forwarding, wait }, index) =>
    index < MAX_PLACED_AT_ONCE || wait.until <= now ? place(forwarding) : [],
  );
  return state.waiting.has(service) ? [...placed, ...scheduleRoom(service, context)] : placed;
};
