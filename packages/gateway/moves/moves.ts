import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import type { GatewayEffect, MovesEvent } from '../events.js';
import { MISSING_ORDER_HOLD_MS } from '../feeds/constants.js';
import type { MoveOrder } from '../types.js';

/** Current orders to move services to other versions. */
export interface MovesState {
  readonly orders: ReadonlyMap<ServiceName, MoveOrder>;
  /**
   * Orders that the copy from which the store was restored lacks, or has in another version. They
   * still count beside those of the copy, as either may be the newer one.
   */
  readonly held: ReadonlyMap<ServiceName, HeldOrder>;
}

/** Order that a restored store lacks, with the instant at which that was read. */
export interface HeldOrder {
  readonly order: MoveOrder;
  readonly heldAt: Millis;
}

/**
 * Newest orders of this process. They outlive the state of the child: a restored store may lack an
 * order that has to be held.
 */
export interface NewestMoves {
  current: MovesState;
}

/**
 * Creates the orders of a process that has read none.
 *
 * @returns the newest orders
 */
export const createNewestMoves = (): NewestMoves => ({
  current: { orders: new Map(), held: new Map() },
});

type MovesChanged = Extract<MovesEvent, { kind: 'moves-changed' }>;

const holdOrder = ({ service, targetVersion }: MoveOrder, now: Millis): GatewayEffect[] => [
  {
    kind: 'log',
    name: 'order-held',
    details: {
      entity: service,
      data: { order: 'move', targetVersion, forMs: MISSING_ORDER_HOLD_MS },
    },
  },
  {
    kind: 'schedule',
    delayMs: MISSING_ORDER_HOLD_MS,
    event: { to: 'moves', kind: 'move-hold-due', service, heldAt: now },
  },
];

/** Applies the records in the order of the feed, in which one may replace the one before. */
const applyChanges = (
  state: MovesState,
  { changes, scope }: MovesChanged,
  now: Millis,
): Step<MovesState, GatewayEffect> => {
  const orders = new Map(scope === 'changed' ? state.orders : []);
  const held = new Map(state.held);
  for (const change of changes) {
    const isOrdered = change.kind === 'move-ordered';
    const service = isOrdered ? change.order.service : change.service;
    if (isOrdered) orders.set(service, change.order);
    else orders.delete(service);
    // A load may still return the record of the copy; any other one was written after it.
    const isFromCopy =
      scope !== 'changed' && isOrdered && isSameOrder(change.order, state.orders.get(service));
    if (scope !== 'restored' && !isFromCopy) held.delete(service);
  }
  const missing = scope === 'restored' ? listMissing(state, orders) : [];
  for (const order of missing) held.set(order.service, { order, heldAt: now });
  for (const { order } of [...held.values()]) {
    if (isSameOrder(order, orders.get(order.service))) held.delete(order.service);
  }
  return { state: { orders, held }, effects: missing.flatMap((order) => holdOrder(order, now)) };
};

const isSameOrder = (order: MoveOrder, other: MoveOrder | undefined): boolean =>
  order.targetVersion === other?.targetVersion;

/** Lists the known orders that the copy lacks, or has in another version. */
const listMissing = (
  known: MovesState,
  copy: ReadonlyMap<ServiceName, MoveOrder>,
): readonly MoveOrder[] =>
  [...known.orders.values(), ...[...known.held.values()].map(({ order }) => order)].filter(
    (order) => !isSameOrder(order, copy.get(order.service)),
  );

const endHold = (state: MovesState, service: ServiceName, heldAt: Millis): MovesState => {
  if (state.held.get(service)?.heldAt !== heldAt) return state;
  const held = new Map(state.held);
  held.delete(service);
  return { ...state, held };
};

/**
 * Reports whether a service is being moved to a version, by an order in force or by one that a
 * restored store lacks.
 *
 * @param state - orders
 * @param service - service of the endpoint
 * @param version - version of the endpoint
 * @returns true when the version is the target of an order
 */
export const isMoveTarget = (
  { held, orders }: MovesState,
  service: ServiceName,
  version: string,
): boolean =>
  orders.get(service)?.targetVersion === version ||
  held.get(service)?.order.targetVersion === version;

const decideMoves = (
  state: MovesState,
  event: MovesEvent,
  now: Millis,
): Step<MovesState, GatewayEffect> => {
  switch (event.kind) {
    case 'moves-changed':
      return applyChanges(state, event, now);
    case 'move-hold-due':
      return toStep<MovesState, GatewayEffect>(endHold(state, event.service, event.heldAt));
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `moves` child, which keeps the orders to move services to other
 * versions. An order that is missing from a restored store, or replaced there by another one, still
 * counts until the service's order is written again or withdrawn, but for `MISSING_ORDER_HOLD_MS` at
 * most.
 *
 * @param clock - source of the instants of holds
 * @param newest - newest orders, updated by this child only
 * @returns the decision logic
 */
export const createMovesLogic = (
  clock: Clock,
  newest: NewestMoves,
): ChildLogic<MovesState, MovesEvent, GatewayEffect> => ({
  init: () => toStep<MovesState, GatewayEffect>(newest.current),
  decide: (state, event) => {
    const step = decideMoves(state, event, clock.now());
    newest.current = step.state;
    return step;
  },
});
