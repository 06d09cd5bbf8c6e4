import { MAX_DEPARTED_ENDPOINTS } from './constants.js';
import type { KnownEndpoint, MembershipState } from './membership.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { HolderState } from '../../decisions/forwarding/resumption.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';

/** An endpoint that was removed; it may still finish what it holds. */
export interface DepartedEndpoint {
  readonly record: EndpointRecord;
  /** Instant at which this daemon learnt that it leaves or was removed. */
  readonly leavingAt: Millis;
}

/**
 * Reports whether two records are of the same incarnation of an endpoint. One that restarted has lost
 * what it held.
 *
 * @param left - one record
 * @param right - other record
 * @returns true when id, start time and address are the same
 */
export const isSameIncarnation = (left: EndpointRecord, right: EndpointRecord): boolean =>
  left.id === right.id &&
  left.startedAt === right.startedAt &&
  left.address.host === right.address.host &&
  left.address.port === right.address.port;

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
 * Finds what is known of the endpoint that holds the memory of a generation.
 *
 * @param holder - record of the endpoint, as it was when the generation came to it
 * @param membership - endpoints, and data centres that are out
 * @returns the state of that incarnation
 */
export const findHolder = (
  holder: EndpointRecord,
  { dataCentresOut, departed, endpoints }: MembershipState,
): HolderState => {
  const known = endpoints.get(holder.id) ?? departed.get(holder.id);
  if (known === undefined || !isSameIncarnation(known.record, holder)) return { kind: 'lost' };
  return {
    kind: 'known',
    leavingAt: known.leavingAt,
    dataCentreOutAt: dataCentresOut.get(holder.dataCentre) ?? null,
  };
};
