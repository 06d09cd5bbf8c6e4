import { SERVING_RETURN_MS } from './constants.js';
import type { Millis } from '../../core/clock.js';
import type { VersionName } from '../../core/ids.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import {
  addNamed,
  decideRoles,
  NO_ROLES,
  recordOrder,
  removeServing,
} from '../../decisions/forwarding/versionRoles.js';
import type {
  KnownOrders,
  RegisteredVersion,
  VersionRoles,
} from '../../decisions/forwarding/versionRoles.js';
import type { GatewayEffect } from '../effects.js';

/** What is known of the versions of a service, and from which orders. */
export interface ServiceVersions {
  readonly roles: VersionRoles;
  readonly orders: KnownOrders;
  /** Versions that serve and have no endpoint, and since when. */
  readonly missing: ReadonlyMap<VersionName, Millis>;
}

/** A service whose versions are decided. */
export interface VersionedService {
  readonly service: ServiceName;
  readonly versions: ServiceVersions;
  readonly effects: readonly GatewayEffect[];
}

/**
 * Creates what is known of a service without endpoints and orders.
 *
 * @param history - whether the orders were read
 * @returns the versions
 */
export const createServiceVersions = (history: 'unread' | 'complete'): ServiceVersions => ({
  roles: NO_ROLES,
  orders: { named: new Set(), history },
  missing: new Map(),
});

const describeRoles = (
  service: ServiceName,
  before: VersionRoles,
  after: VersionRoles,
): readonly GatewayEffect[] => {
  const toNames = ({ onTrial, serving }: VersionRoles) => ({
    serving: [...serving].sort(),
    onTrial: [...onTrial].sort(),
  });
  const data = toNames(after);
  return JSON.stringify(data) === JSON.stringify(toNames(before))
    ? []
    : [{ kind: 'log', name: 'version-roles', details: { entity: service, data } }];
};

/** Reports the versions that are not known any more to have been ordered. */
const describeForgotten = (
  service: ServiceName,
  before: ReadonlySet<VersionName>,
  after: ReadonlySet<VersionName>,
): readonly GatewayEffect[] =>
  [...before]
    .filter((version) => !after.has(version))
    .map((version) => ({
      kind: 'log',
      name: 'version-forgotten',
      details: { entity: service, data: { version } },
    }));

const decideVersions = (
  service: ServiceName,
  before: ServiceVersions,
  { missing, orders, roles }: ServiceVersions,
): VersionedService => {
  const decided = decideRoles(roles, orders);
  return {
    service,
    versions: { roles: decided, orders, missing },
    effects: describeRoles(service, before.roles, decided),
  };
};

/**
 * Takes an order into account that was not known before.
 *
 * @param service - service of the order
 * @param versions - what is known of it
 * @param target - version that the order names
 * @returns the service
 */
export const applyOrder = (
  service: ServiceName,
  versions: ServiceVersions,
  target: VersionName,
): VersionedService => {
  const { missing, orders, roles } = versions;
  const { history, named } = orders;
  const nextNamed = addNamed(named, target);
  const decided = decideVersions(service, versions, {
    roles: history === 'unread' ? roles : recordOrder(roles, named, target),
    orders: { named: nextNamed, history },
    missing,
  });
  const forgotten = describeForgotten(service, named, nextNamed);
  return { ...decided, effects: [...decided.effects, ...forgotten] };
};

/**
 * Takes into account that the orders of a service were read for the first time.
 *
 * @param service - service
 * @param versions - what is known of it
 * @returns the service
 */
export const applyFirstRead = (
  service: ServiceName,
  versions: ServiceVersions,
): VersionedService => {
  const { missing, orders, roles } = versions;
  const history = orders.named.size > 0 ? 'newest' : 'complete';
  return decideVersions(service, versions, {
    roles,
    orders: { named: orders.named, history },
    missing,
  });
};

/**
 * Takes into account that a version got its first endpoint or lost its last one.
 *
 * @param service - service
 * @param versions - what is known of it
 * @param registered - versions that have endpoints
 * @param now - current instant
 * @returns the service, with a check of each version that serves and has become absent
 */
export const applyRegistered = (
  service: ServiceName,
  versions: ServiceVersions,
  registered: readonly RegisteredVersion[],
  now: Millis,
): VersionedService => {
  const { orders, roles } = versions;
  const present = new Set(registered.map(({ version }) => version));
  const absent = [...roles.serving].filter((version) => !present.has(version));
  const missing = new Map(absent.map((version) => [version, versions.missing.get(version) ?? now]));
  const decided = decideVersions(service, versions, {
    roles: { ...roles, registered },
    orders,
    missing,
  });
  const checks = absent
    .filter((version) => !versions.missing.has(version))
    .map((version): GatewayEffect => ({
      kind: 'schedule',
      delayMs: SERVING_RETURN_MS,
      event: { to: 'moves', kind: 'serving-check-due', service, version, since: now },
    }));
  return { ...decided, effects: [...decided.effects, ...checks] };
};

/**
 * Forgets that a version serves which has had no endpoint for `SERVING_RETURN_MS`.
 *
 * @param service - service
 * @param versions - what is known of it
 * @param version - version that served
 * @param since - instant from which it had no endpoint
 * @returns the service; unchanged if the version was back meanwhile
 */
export const applyAbsence = (
  service: ServiceName,
  versions: ServiceVersions,
  version: VersionName,
  since: Millis,
): VersionedService => {
  if (versions.missing.get(version) !== since) return { service, versions, effects: [] };
  const missing = new Map(versions.missing);
  missing.delete(version);
  const roles = removeServing(versions.roles, version);
  return decideVersions(service, versions, { roles, orders: versions.orders, missing });
};
