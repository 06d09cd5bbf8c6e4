import type { Millis } from '../../core/clock.js';
import type { EndpointId, VersionName } from '../../core/ids.js';
import type { EndpointRecord, ServiceName } from '../../decisions/forwarding/types.js';
import type { RegisteredVersion } from '../../decisions/forwarding/versionRoles.js';
import type { GatewayEffect } from '../effects.js';

/** Versions of the services with their endpoints. */
export interface VersionIndex {
  /** Start times of the registered endpoints, by service and version. */
  readonly services: Map<ServiceName, Map<VersionName, Map<EndpointId, Millis | null>>>;
  /** Services of which a version got its first endpoint, or lost its last one, since the last notice. */
  readonly changed: Set<ServiceName>;
}

/**
 * Creates an index without endpoints.
 *
 * @returns the index
 */
export const createVersionIndex = (): VersionIndex => ({ services: new Map(), changed: new Set() });

/**
 * Removes an endpoint from the index.
 *
 * @param index - index to update
 * @param record - registration of the endpoint
 */
export const removeIndexed = (
  { changed, services }: VersionIndex,
  { id, service, version }: EndpointRecord,
): void => {
  const versions = services.get(service);
  const endpoints = versions?.get(version);
  if (versions === undefined || endpoints?.delete(id) !== true || endpoints.size > 0) return;
  versions.delete(version);
  if (versions.size === 0) services.delete(service);
  changed.add(service);
};

/**
 * Adds an endpoint to the index, in place of its earlier registration.
 *
 * @param index - index to update
 * @param record - registration of the endpoint
 * @param earlier - registration that it replaces
 */
export const addIndexed = (
  index: VersionIndex,
  { id, service, startedAt, version }: EndpointRecord,
  earlier: EndpointRecord | undefined,
): void => {
  if (earlier !== undefined && (earlier.service !== service || earlier.version !== version)) {
    removeIndexed(index, earlier);
  }
  const versions: Map<VersionName, Map<EndpointId, Millis | null>> = index.services.get(service) ??
  new Map();
  const endpoints: Map<EndpointId, Millis | null> = versions.get(version) ?? new Map();
  if (endpoints.size === 0) index.changed.add(service);
  endpoints.set(id, startedAt);
  versions.set(version, endpoints);
  index.services.set(service, versions);
};

const findFirstStart = (starts: Iterable<Millis | null>): Millis | null => {
  let first = Infinity;
  for (const startedAt of starts) {
    if (startedAt === null) return null;
    first = Math.min(first, startedAt);
  }
  return first;
};

/**
 * Notifies the `moves` child of the services whose versions have changed.
 *
 * @param index - index; its changes count as notified
 * @returns one event for each service
 */
export const notifyVersions = ({ changed, services }: VersionIndex): readonly GatewayEffect[] => {
  const notices = [...changed].map((service): GatewayEffect => {
    const versions = [...(services.get(service) ?? [])].map(
      ([version, endpoints]): RegisteredVersion => ({
        version,
        startedAt: findFirstStart(endpoints.values()),
      }),
    );
    return { kind: 'post', event: { to: 'moves', kind: 'versions-changed', service, versions } };
  });
  changed.clear();
  return notices;
};
