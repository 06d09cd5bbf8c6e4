import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import type { GatewayEffect, MovesEvent } from '../events.js';
import type { MoveOrder } from '../types.js';

/** Current orders to move services to other versions. */
export interface MovesState {
  readonly orders: ReadonlyMap<ServiceName, MoveOrder>;
}

/**
 * Creates the decision logic of the `moves` child, which keeps the orders to move services to other
 * versions.
 *
 * @returns the decision logic
 */
export const createMovesLogic = (): ChildLogic<MovesState, MovesEvent, GatewayEffect> => ({
  init: () => toStep<MovesState, GatewayEffect>({ orders: new Map() }),
  decide: (state, event) => {
    const orders = new Map(event.scope === 'changed' ? state.orders : []);
    for (const order of event.orders) orders.set(order.service, order);
    for (const service of event.withdrawn) orders.delete(service);
    return toStep<MovesState, GatewayEffect>({ orders });
  },
});
