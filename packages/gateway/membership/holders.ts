import { MAX_DEPARTED_ENDPOINTS } from './constants.js';
import type { KnownEndpoint, MembershipState } from './membership.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { HolderState } from '../../decisions/forwarding/resumption.js';
import type { EndpointIncarnation, EndpointRecord } from '../../decisions/forwarding/types.js';
import { findStatements, isSameIncarnation, toIncarnation } from '../statements/incarnations.js';
import type { StatedIncarnations } from '../statements/incarnations.js';

/** An endpoint that was removed; it may still finish what it holds. */
export interface DepartedEndpoint {
  readonly record: EndpointRecord;
  /** Instant at which this daemon learnt that it leaves or was removed. */
  readonly leavingAt: Millis;
}

/**
 * Remembers an endpoint that is removed; above `MAX_DEPARTED_ENDPOINTS` the oldest one is dropped.
 *
 * @param departed - removed endpoints, updated in place
 * @param known - endpoint
 * @param now - current instant
 */
export const recordDeparted = (
  departed: Map<EndpointId, DepartedEndpoint>,
  { leavingAt, record, removedAt }: KnownEndpoint,
  now: Millis,
): void => {
  departed.delete(record.id);
  departed.set(record.id, { record, leavingAt: leavingAt ?? removedAt ?? now });
  const [oldest] = departed.keys();
  if (departed.size > MAX_DEPARTED_ENDPOINTS && oldest !== undefined) departed.delete(oldest);
};

/**
 * Finds the registered incarnation of an endpoint.
 *
 * @param membership - endpoints
 * @param id - id of the endpoint
 * @returns the incarnation; null when none is registered
 */
export const findRegistered = (
  { endpoints }: MembershipState,
  id: EndpointId,
): EndpointIncarnation | null => {
  const record = endpoints.get(id)?.record;
  return record === undefined ? null : toIncarnation(record);
};

const findEarlier = (left: Millis | null, right: Millis | null): Millis | null =>
  left === null || right === null ? (left ?? right) : Math.min(left, right);

/**
 * Finds what is known of the endpoint that holds the memory of a generation.
 *
 * @param holder - record of the endpoint, as it was when the generation came to it
 * @param membership - endpoints, and data centres that are out
 * @param incarnations - what the endpoints have stated
 * @returns the state of that incarnation
 */
export const findHolder = (
  holder: EndpointRecord,
  { dataCentresOut, departed, endpoints }: MembershipState,
  incarnations: StatedIncarnations,
): HolderState => {
  const known = endpoints.get(holder.id) ?? departed.get(holder.id);
  if (known === undefined || !isSameIncarnation(known.record, holder)) return { kind: 'lost' };
  const statedAt = findStatements(incarnations, holder)?.leavingAt ?? null;
  return {
    kind: 'known',
    leavingAt: findEarlier(known.leavingAt, statedAt),
    dataCentreOutAt: dataCentresOut.get(holder.dataCentre) ?? null,
  };
};
