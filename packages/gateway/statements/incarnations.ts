import { MAX_STATED_ENDPOINTS, MAX_STATED_INCARNATIONS } from './constants.js';
import type { EndpointId } from '../../core/ids.js';
import type {
  EndpointStatements,
  StatementSubject,
} from '../../decisions/forwarding/statements.js';
import type { EndpointIncarnation, EndpointRecord } from '../../decisions/forwarding/types.js';

/** What one incarnation of an endpoint has stated. */
export interface StatedIncarnation {
  readonly endpoint: EndpointIncarnation;
  readonly stated: EndpointStatements;
  /** Subjects of its malformed statements, each of which is logged once. */
  readonly malformed: readonly StatementSubject[];
}

/**
 * Incarnations with their statements, newest statement last, by endpoint. It outlives the state of the
 * child and the registrations: neither may bring back an endpoint that said that it leaves.
 */
export type StatedIncarnations = Map<EndpointId, readonly StatedIncarnation[]>;

/**
 * Reports whether two records are of the same incarnation of an endpoint. One that restarted has lost
 * what it held, and holds to nothing that it said before.
 *
 * @param left - one record
 * @param right - other record
 * @returns true when id, start time and address are the same
 */
export const isSameIncarnation = (
  left: Omit<EndpointIncarnation, 'service'>,
  right: Omit<EndpointIncarnation, 'service'>,
): boolean =>
  left.id === right.id &&
  left.startedAt === right.startedAt &&
  left.address.host === right.address.host &&
  left.address.port === right.address.port;

/**
 * Picks from a record what identifies the incarnation of the endpoint.
 *
 * @param record - registration of the endpoint
 * @returns its identity and service
 */
export const toIncarnation = ({
  address,
  id,
  service,
  startedAt,
}: EndpointRecord): EndpointIncarnation => ({ address, id, service, startedAt });

/**
 * Finds an incarnation that has stated something.
 *
 * @param incarnations - incarnations with their statements
 * @param endpoint - incarnation to find
 * @returns the incarnation; null when it has stated nothing
 */
export const findIncarnation = (
  incarnations: StatedIncarnations,
  endpoint: EndpointIncarnation,
): StatedIncarnation | null =>
  incarnations.get(endpoint.id)?.find((known) => isSameIncarnation(known.endpoint, endpoint)) ??
  null;

/**
 * Finds what an incarnation has stated.
 *
 * @param incarnations - incarnations with their statements
 * @param endpoint - incarnation
 * @returns its statements; null without any
 */
export const findStatements = (
  incarnations: StatedIncarnations,
  endpoint: EndpointIncarnation,
): EndpointStatements | null => findIncarnation(incarnations, endpoint)?.stated ?? null;

/**
 * Remembers what an incarnation has stated; above the limits the one is dropped whose newest statement
 * is oldest.
 *
 * @param incarnations - incarnations, updated in place
 * @param stated - incarnation with its statements
 */
export const recordIncarnation = (
  incarnations: StatedIncarnations,
  stated: StatedIncarnation,
): void => {
  const { id } = stated.endpoint;
  const others = (incarnations.get(id) ?? []).filter(
    ({ endpoint }) => !isSameIncarnation(endpoint, stated.endpoint),
  );
  incarnations.delete(id);
  incarnations.set(id, [...others, stated].slice(-MAX_STATED_INCARNATIONS));
  const [oldest] = incarnations.keys();
  if (incarnations.size > MAX_STATED_ENDPOINTS && oldest !== undefined) incarnations.delete(oldest);
};
