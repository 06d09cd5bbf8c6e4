import type { Millis } from '../../core/clock.js';
import type { VersionName } from '../../core/ids.js';

/** Limit of the versions of a service that are known to have been ordered. */
export const MAX_NAMED_VERSIONS = 64;

/** A version of a service that has registered endpoints. */
export interface RegisteredVersion {
  readonly version: VersionName;
  /** Start of its oldest endpoint; null if an endpoint does not state it. */
  readonly startedAt: Millis | null;
}

/**
 * What is known of the versions of a service. A version is decided once: an order names a version, and
 * does not tell whether that one served before.
 */
export interface VersionRoles {
  readonly registered: readonly RegisteredVersion[];
  /** Versions that served before an order named them, or that none named. */
  readonly serving: ReadonlySet<VersionName>;
  /** Versions that an order named before they served. */
  readonly onTrial: ReadonlySet<VersionName>;
}

/** Orders for a service as a daemon knows them. */
export interface KnownOrders {
  /** Versions that orders name or have named. */
  readonly named: ReadonlySet<VersionName>;
  /**
   * `unread`: the orders were not read yet. `newest`: the daemon started after earlier orders, of which
   * only the newest is left to read.
   */
  readonly history: 'unread' | 'newest' | 'complete';
}

/**
 * Adds a version that an order names. The one that was named the longest ago is forgotten beyond
 * `MAX_NAMED_VERSIONS`.
 *
 * @param named - versions that the orders before have named
 * @param target - version that the order names
 * @returns the named versions, in the order of their last orders
 */
export const addNamed = (
  named: ReadonlySet<VersionName>,
  target: VersionName,
): ReadonlySet<VersionName> => {
  const others = [...named].filter((version) => version !== target);
  return new Set([...others.slice(-(MAX_NAMED_VERSIONS - 1)), target]);
};

export const NO_ROLES: VersionRoles = {
  registered: [],
  serving: new Set(),
  onTrial: new Set(),
};

const isOlder = ({ startedAt }: RegisteredVersion, other: RegisteredVersion): boolean =>
  startedAt !== null && other.startedAt !== null && startedAt < other.startedAt;

/**
 * Finds the version to which a service was ordered back, by age: the endpoints of an order's target are
 * started beside those that serve, so a target that is older than all other versions served before.
 */
const findOrderedBack = (
  { registered, serving }: VersionRoles,
  { history, named }: KnownOrders,
): VersionName | undefined => {
  if (history !== 'newest' || serving.size > 0 || registered.length < 2) return undefined;
  const [first, ...later] = [...registered].sort(
    (entry, other) => (entry.startedAt ?? 0) - (other.startedAt ?? 0),
  );
  if (first === undefined || !named.has(first.version)) return undefined;
  return later.every((other) => isOlder(first, other)) ? first.version : undefined;
};

/**
 * Decides the versions of a service that are not decided yet. While nothing serves, a version that an
 * order names is left undecided: it may be the only one.
 *
 * @param roles - what is known
 * @param orders - orders for the service
 * @returns the roles with the versions that can be decided
 */
export const decideRoles = (roles: VersionRoles, orders: KnownOrders): VersionRoles => {
  if (orders.history === 'unread') return roles;
  const { onTrial, registered } = roles;
  const back = findOrderedBack(roles, orders);
  const serving = new Set(roles.serving);
  if (back !== undefined) serving.add(back);
  const open = registered.filter(({ version }) => !onTrial.has(version));
  for (const { version } of open) {
    if (back === undefined && !orders.named.has(version)) serving.add(version);
  }
  const trials = [...orders.named, ...registered.map(({ version }) => version)];
  const isTrial = (version: VersionName): boolean =>
    !serving.has(version) && (onTrial.has(version) || serving.size > 0);
  return { registered, serving, onTrial: new Set(trials.filter(isTrial)) };
};

/** Reports whether the endpoints of a target were read before the order that they were started for. */
const isReadEarly = (
  { registered, serving }: VersionRoles,
  named: ReadonlySet<VersionName>,
  target: VersionName,
): boolean => {
  const entry = registered.find(({ version }) => version === target);
  if (entry === undefined || named.has(target) || !serving.has(target)) return false;
  return registered.some((other) => serving.has(other.version) && isOlder(other, entry));
};

/**
 * Records that the versions which have endpoints serve as a new order is given for another one. Those on
 * trial serve only if nothing else does.
 *
 * @param roles - what is known
 * @param named - versions that the orders before have named
 * @param target - version that the order names
 * @returns the roles
 */
export const recordOrder = (
  roles: VersionRoles,
  named: ReadonlySet<VersionName>,
  target: VersionName,
): VersionRoles => {
  const { onTrial, registered, serving } = roles;
  const others = new Set(
    registered
      .map(({ version }) => version)
      .filter((version) => version !== target && (serving.size === 0 || !onTrial.has(version))),
  );
  const nextServing = new Set([...serving, ...others]);
  if (isReadEarly(roles, named, target)) nextServing.delete(target);
  return {
    registered,
    serving: nextServing,
    onTrial: new Set([...onTrial].filter((version) => !others.has(version))),
  };
};

/**
 * Forgets that a version serves, as when it has had no endpoint for a while.
 *
 * @param roles - what is known
 * @param version - version that served
 * @returns the roles; unchanged while the version has an endpoint
 */
export const removeServing = (roles: VersionRoles, version: VersionName): VersionRoles => {
  if (roles.registered.some((entry) => entry.version === version)) return roles;
  const serving = new Set(roles.serving);
  serving.delete(version);
  return { ...roles, serving };
};

/**
 * Reports whether the endpoints of a version get no requests. Those on trial get none while another
 * version serves: a bad version cannot be detected in time without evidence from all daemons. A version
 * that is not decided waits for the decision, unless no other one could serve.
 *
 * @param roles - what is known of the service
 * @param targets - versions that the orders in force name
 * @param version - version of an endpoint
 * @param present - versions of the endpoints from which one is chosen
 * @returns true when the endpoint is no candidate
 */
export const isExcluded = (
  { onTrial, serving }: VersionRoles,
  targets: ReadonlySet<VersionName>,
  version: VersionName,
  present: ReadonlySet<VersionName>,
): boolean => {
  if (serving.has(version)) return false;
  if (onTrial.has(version)) return serving.size > 0;
  if (!targets.has(version)) return false;
  return [...present].some((other) => !onTrial.has(other) && !targets.has(other));
};
