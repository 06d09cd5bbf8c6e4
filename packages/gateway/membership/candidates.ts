import type { MembershipState } from './membership.js';
import type { Millis } from '../../core/clock.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import type { ServiceName } from '../../decisions/forwarding/types.js';
import { sumPeerLoad } from '../peers/peers.js';
import type { PeersState } from '../peers/peers.js';
import { addLoads, NO_LOAD, sumOwnLoads } from '../requests/load.js';
import type { MovesState } from '../moves/moves.js';
import type { RequestsState } from '../requests/types.js';

/** States from which the candidates of a placement are built. */
export interface CandidateSources {
  readonly membership: MembershipState;
  readonly peers: PeersState;
  readonly requests: RequestsState;
  readonly moves: MovesState;
}

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
  for (const { health, record, recordedAt } of membership.endpoints.values()) {
    if (record.service !== service || membership.dataCentresOut.has(record.dataCentre)) continue;
    if (record.version === moves.orders.get(service)?.targetVersion) continue;
    const own = ownLoads.get(record.id) ?? NO_LOAD;
    const isCold = now < recordedAt + record.coldForMs;
    candidates.push({
      record,
      health,
      load: addLoads(own, sumPeerLoad(peers, record.id, now)),
      coldHeadroom: isCold ? 0 : null,
    });
  }
  return candidates;
};
