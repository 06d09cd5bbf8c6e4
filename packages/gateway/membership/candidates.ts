import { LIMIT_VALIDITY_MS } from './constants.js';
import type { KnownEndpoint, MembershipState } from './membership.js';
import type { Millis } from '../../core/clock.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import { computeLimitWindow } from '../../decisions/forwarding/requestLimit.js';
import type { RequestLimit } from '../../decisions/forwarding/requestLimit.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import { countPeerRequests, sumPeerLoad } from '../peers/peers.js';
import type { PeersState } from '../peers/peers.js';
import type { LimitRow } from '../peers/types.js';
import { addLoads, NO_LOAD, sumOwnLoads } from '../requests/load.js';
import type { MovesState } from '../moves/moves.js';
import { countSent } from '../requests/requestLimits.js';
import type { RequestsState } from '../requests/types.js';

/** States from which the candidates of a placement are built. */
export interface CandidateSources {
  readonly membership: MembershipState;
  readonly peers: PeersState;
  readonly requests: RequestsState;
  readonly moves: MovesState;
}

const buildLimit = (
  { limit, record }: KnownEndpoint,
  peers: PeersState,
  now: Millis,
): RequestLimit | null => {
  if (limit === null || limit.requestsPerSecond === null) return null;
  if (now - limit.observedAt > LIMIT_VALIDITY_MS) return null;
  return {
    requestsPerSecond: limit.requestsPerSecond,
    ...countPeerRequests(peers, record.id, now),
  };
};

/**
 * Lists the endpoints of a service for a placement, without those in data centres that operators
 * took out of service. While there is an order to move a service to another version, the endpoints
 * of that version receive no requests: a bad version cannot be detected in time without evidence
 * from all daemons.
 *
 * @param service - service of the request
 * @param sources - states of membership, peers, requests and moves
 * @param now - current instant
 * @returns the candidates
 */
export const listCandidates = (
  service: ServiceName,
  { membership, moves, peers, requests }: CandidateSources,
  now: Millis,
): readonly Candidate[] => {
  const candidates: Candidate[] = [];
  const ownLoads = sumOwnLoads(requests);
  for (const known of membership.endpoints.values()) {
    const { health, record, recordedAt } = known;
    if (record.service !== service || membership.dataCentresOut.has(record.dataCentre)) continue;
    if (record.version === moves.orders.get(service)?.targetVersion) continue;
    const own = ownLoads.get(record.id) ?? NO_LOAD;
    const isCold = now < recordedAt + record.coldForMs;
    candidates.push({
      record,
      health,
      load: addLoads(own, sumPeerLoad(peers, record.id, now)),
      coldHeadroom: isCold ? 0 : null,
      limit: buildLimit(known, peers, now),
      limitHeadroom: null,
    });
  }
  return candidates;
};

/**
 * Lists the endpoints that stated a request limit or its end, for the other daemons.
 *
 * @param membership - endpoints with their newest statements
 * @param requests - latest requests of this daemon
 * @param now - current instant
 * @returns the statements with their ages and the requests within the window of the limit
 */
export const listLimits = (
  membership: MembershipState,
  requests: RequestsState,
  now: Millis,
): readonly LimitRow[] =>
  [...membership.endpoints.values()].flatMap(({ limit, record }): readonly LimitRow[] => {
    if (limit === null || now - limit.observedAt > LIMIT_VALIDITY_MS) return [];
    const { observedAt, requestsPerSecond } = limit;
    const windowMs = computeLimitWindow(requestsPerSecond ?? 0);
    const sent = countSent(requests, record.id, windowMs, now);
    return [[record.id, requestsPerSecond, Math.round(now - observedAt), sent]];
  });
