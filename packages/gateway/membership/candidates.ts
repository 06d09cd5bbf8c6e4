import type { MembershipState } from './membership.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import { computeLimitWindow, countLimitUsers } from '../../decisions/forwarding/requestLimit.js';
import type { LimitRole, RequestLimit } from '../../decisions/forwarding/requestLimit.js';
import { findLimit } from '../../decisions/forwarding/statements.js';
import type { EndpointStatements } from '../../decisions/forwarding/statements.js';
import type { EndpointRecord, ServiceName } from '../../decisions/forwarding/types.js';
import { chooseByRendezvous } from '../../decisions/membership/rendezvous.js';
import type { StringHash } from '../../decisions/membership/rendezvous.js';
import { listExcludedVersions } from '../moves/moves.js';
import type { MovesState } from '../moves/moves.js';
import { countPeerRequests, listPeerProcesses, sumPeerLoad } from '../peers/fleet.js';
import type { PeersState } from '../peers/fleet.js';
import type { LimitRow } from '../peers/types.js';
import { addLoads, NO_LOAD, sumOwnLoads } from '../requests/load.js';
import { countSent } from '../requests/requestLimits.js';
import type { RequestsState } from '../requests/types.js';
import { findStatements } from '../statements/incarnations.js';
import type { StatementsState } from '../statements/statements.js';

/** States from which the candidates of a placement are built. */
export interface CandidateSources {
  readonly membership: MembershipState;
  readonly peers: PeersState;
  readonly requests: RequestsState;
  readonly moves: MovesState;
  readonly statements: StatementsState;
}

/** Names this daemon among the others, and hashes names for the choice of an endpoint's users. */
export interface LimitInputs {
  readonly process: string;
  readonly hash: StringHash;
}

const getRole = (
  endpoint: EndpointId,
  requestsPerSecond: number,
  daemons: readonly string[],
  { hash, process }: LimitInputs,
): LimitRole => {
  const count = countLimitUsers(requestsPerSecond, daemons.length);
  if (count === daemons.length) return 'user';
  return chooseByRendezvous(endpoint, daemons, count, hash).includes(process) ? 'user' : 'other';
};

const buildLimit = (
  { id }: EndpointRecord,
  stated: EndpointStatements | null,
  peers: PeersState,
  inputs: LimitInputs,
  now: Millis,
): RequestLimit | null => {
  const requestsPerSecond = findLimit(stated, now)?.requestsPerSecond ?? null;
  if (requestsPerSecond === null) return null;
  const daemons = [inputs.process, ...listPeerProcesses(peers)];
  return {
    requestsPerSecond,
    ...countPeerRequests(peers, id, now),
    role: getRole(id, requestsPerSecond, daemons, inputs),
  };
};

/** What an endpoint said in an answer holds whatever its registration says. */
const applyLeaving = (record: EndpointRecord, stated: EndpointStatements | null): EndpointRecord =>
  stated?.leavingAt == null ? record : { ...record, phase: 'leaving' };

/**
 * Lists the endpoints of a service for a placement, without those in data centres that operators
 * took out of service and those of versions on trial.
 *
 * @param service - service of the request
 * @param sources - states of membership, peers, requests, moves and statements
 * @param inputs - name of this daemon and hash function
 * @param now - current instant
 * @returns the candidates
 */
export const listCandidates = (
  service: ServiceName,
  { membership, moves, peers, requests, statements }: CandidateSources,
  inputs: LimitInputs,
  now: Millis,
): readonly Candidate[] => {
  const candidates: Candidate[] = [];
  const ownLoads = sumOwnLoads(requests);
  const present = new Set(membership.versions.services.get(service)?.keys());
  const excluded = listExcludedVersions(moves, service, present);
  for (const known of membership.endpoints.values()) {
    const { health, record, recordedAt } = known;
    if (record.service !== service || membership.dataCentresOut.has(record.dataCentre)) continue;
    if (excluded.has(record.version)) continue;
    const stated = findStatements(statements.incarnations, record);
    const own = ownLoads.get(record.id) ?? NO_LOAD;
    const isCold = now < recordedAt + record.coldForMs;
    candidates.push({
      record: applyLeaving(record, stated),
      health,
      load: addLoads(own, sumPeerLoad(peers, record.id, now)),
      statedLoad: stated?.load ?? null,
      coldHeadroom: isCold ? 0 : null,
      limit: buildLimit(record, stated, peers, inputs, now),
      limitHeadroom: null,
      rest: stated?.rest ?? null,
      restGate: null,
    });
  }
  return candidates;
};

/**
 * Lists the endpoints that stated a request limit or its end, for the other daemons.
 *
 * @param sources - states of membership, requests and statements
 * @param now - current instant
 * @returns the statements with their ages and the requests within the window of the limit
 */
export const listLimits = (
  { membership, requests, statements }: Omit<CandidateSources, 'moves' | 'peers'>,
  now: Millis,
): readonly LimitRow[] =>
  [...membership.endpoints.values()].flatMap(({ record }): readonly LimitRow[] => {
    const limit = findLimit(findStatements(statements.incarnations, record), now);
    if (limit === null) return [];
    const { observedAt, requestsPerSecond } = limit;
    const windowMs = computeLimitWindow(requestsPerSecond ?? 0);
    const sent = countSent(requests, record.id, windowMs, now);
    return [[record.id, requestsPerSecond, Math.round(now - observedAt), sent]];
  });
