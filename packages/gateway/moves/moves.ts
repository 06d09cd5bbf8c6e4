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
   * Services whose order is missing from the copy from which the store was restored, with the
   * instants at which that was read.
   */
  readonly held: ReadonlyMap<ServiceName, Millis>;
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

/** Lists the known orders that a load without them does not withdraw. */
const listRemaining = (
  { held, orders }: MovesState,
  scope: MovesChanged['scope'],
): readonly MoveOrder[] => {
  switch (scope) {
    case 'changed':
    case 'restored':
      return [...orders.values()];
    case 'all':
      return [...orders.values()].filter(({ service }) => held.has(service));
    default:
      return assertNever(scope);
  }
};

/** Applies the records in the order of the feed, in which one may replace the one before. */
const applyChanges = (
  state: MovesState,
  { changes, scope }: MovesChanged,
  now: Millis,
): Step<MovesState, GatewayEffect> => {
  const orders = new Map(listRemaining(state, scope).map((order) => [order.service, order]));
  const held = new Map(state.held);
  const missing = new Map(scope === 'restored' ? orders : []);
  for (const change of changes) {
    const service = change.kind === 'move-ordered' ? change.order.service : change.service;
    held.delete(service);
    missing.delete(service);
    if (change.kind === 'move-ordered') orders.set(service, change.order);
    else orders.delete(service);
  }
  for (const service of missing.keys()) held.set(service, now);
  return {
    state: { orders, held },
    effects: [...missing.values()].flatMap((order) => holdOrder(order, now)),
  };
};

const endHold = (state: MovesState, service: ServiceName, heldAt: Millis): MovesState => {
  if (state.held.get(service) !== heldAt) return state;
  const orders = new Map(state.orders);
  const held = new Map(state.held);
  orders.delete(service);
  held.delete(service);
  return { orders, held };
};

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
 * versions. An order that is missing from a restored store still counts until it is withdrawn, but
 * for `MISSING_ORDER_HOLD_MS` at most unless it is written again.
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
