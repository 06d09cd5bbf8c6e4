import {
  applyAbsence,
  applyFirstRead,
  applyOrder,
  applyRegistered,
  createServiceVersions,
} from './serviceVersions.js';
import type { ServiceVersions, VersionedService } from './serviceVersions.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { VersionName } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import { isExcluded } from '../../decisions/forwarding/versionRoles.js';
import type { GatewayEffect } from '../effects.js';
import type { MovesEvent } from '../events.js';
import { MISSING_ORDER_HOLD_MS } from '../feeds/constants.js';
import type { MoveOrder } from '../types.js';

/** Current orders to move services to other versions. */
export interface MovesState {
  /** Whether the orders were read. */
  readonly loaded: 'yes' | 'no';
  readonly orders: ReadonlyMap<ServiceName, MoveOrder>;
  /**
   * Orders that the copy from which the store was restored lacks, or has in another version. They
   * still count beside those of the copy, as either may be the newer one.
   */
  readonly held: ReadonlyMap<ServiceName, HeldOrder>;
  /** Only the `moves` child updates them, in place. */
  readonly versions: Map<ServiceName, ServiceVersions>;
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
  current: { loaded: 'no', orders: new Map(), held: new Map(), versions: new Map() },
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

const findVersions = ({ loaded, versions }: MovesState, service: ServiceName): ServiceVersions =>
  versions.get(service) ?? createServiceVersions(loaded === 'yes' ? 'complete' : 'unread');

const updateVersions = (
  { versions }: MovesState,
  updated: VersionedService,
): readonly GatewayEffect[] => {
  versions.set(updated.service, updated.versions);
  return updated.effects;
};

/** Takes the orders into account that were not known before, and that all were read. */
const applyOrders = (
  state: MovesState,
  changes: MovesChanged['changes'],
): readonly GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  for (const change of changes) {
    if (change.kind !== 'move-ordered') continue;
    const { offset, service, targetVersion } = change.order;
    if (state.orders.get(service)?.offset === offset) continue;
    const ordered = applyOrder(service, findVersions(state, service), targetVersion);
    effects.push(...updateVersions(state, ordered));
  }
  if (state.loaded === 'yes') return effects;
  const first = [...state.versions].map(([service, unread]) => applyFirstRead(service, unread));
  return [...effects, ...first.flatMap((updated) => updateVersions(state, updated))];
};

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
  const ordered = applyOrders(state, changes);
  const holds = missing.flatMap((order) => holdOrder(order, now));
  return {
    state: { loaded: 'yes', orders, held, versions: state.versions },
    effects: [...ordered, ...holds],
  };
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

/** Versions that an order in force names, or one that a restored store lacks. */
const listTargets = (
  { held, orders }: MovesState,
  service: ServiceName,
): ReadonlySet<VersionName> =>
  new Set(
    [orders.get(service), held.get(service)?.order].flatMap((order) =>
      order === undefined ? [] : [order.targetVersion],
    ),
  );

/**
 * Lists the versions whose endpoints get no requests, since the service was ordered to move to them and
 * another version serves.
 *
 * @param state - orders and versions
 * @param service - service of the endpoints
 * @param present - versions of the endpoints
 * @returns those versions whose endpoints are no candidates
 */
export const listExcludedVersions = (
  state: MovesState,
  service: ServiceName,
  present: ReadonlySet<VersionName>,
): ReadonlySet<VersionName> => {
  const { roles } = findVersions(state, service);
  const targets = listTargets(state, service);
  return new Set([...present].filter((version) => isExcluded(roles, targets, version, present)));
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
    case 'versions-changed': {
      const { service, versions } = event;
      const known = findVersions(state, service);
      const updated = applyRegistered(service, known, versions, now);
      return { state, effects: updateVersions(state, updated) };
    }
    case 'serving-check-due': {
      const { service, since, version } = event;
      const updated = applyAbsence(service, findVersions(state, service), version, since);
      return { state, effects: updateVersions(state, updated) };
    }
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `moves` child, which keeps the orders to move services to other
 * versions, and which versions serve or are on trial. An order that is missing from a restored store, or
 * replaced there by another one, still counts until the service's order is written again or withdrawn,
 * but for `MISSING_ORDER_HOLD_MS` at most.
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
