import {
  MAX_PEER_LOAD_AGE_MS,
  MAX_REPORTED_LIMITS,
  MAX_SUMMARY_LOAD_ROWS,
  MAX_SUMMARY_MEMBERS,
} from './constants.js';
import type { GroupSummary, LimitRow, LoadRow, MemberRow, PeerReport, Received } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';
import type { FleetMember, GroupName } from '../../decisions/membership/reportGroups.js';
import { addLoads, NO_LOAD, toLoadRow } from '../requests/load.js';

/** Report of one member of a group, and when it was received. */
export interface MemberReport {
  readonly member: FleetMember;
  readonly receivedAt: Millis;
  readonly report: PeerReport;
}

/**
 * Indexes load rows by endpoint.
 *
 * @param rows - rows of a message
 * @returns the sums of the rows of each endpoint
 */
export const toLoadsByEndpoint = (
  rows: readonly LoadRow[],
): ReadonlyMap<EndpointId, EndpointLoad> => {
  const loads = new Map<EndpointId, EndpointLoad>();
  for (const [endpoint, requests, tokens, waitingTokens, growthTokens = 0] of rows) {
    const load = { requests, tokens, waitingTokens, growthTokens };
    loads.set(endpoint, addLoads(loads.get(endpoint) ?? NO_LOAD, load));
  }
  return loads;
};

/** Sums the loads by endpoint, the endpoints with most requests first. */
const sumLoadRows = (reports: readonly MemberReport[]): readonly LoadRow[] =>
  [...toLoadsByEndpoint(reports.flatMap(({ report }) => report.load))]
    .map(([endpoint, load]) => toLoadRow(endpoint, load))
    .sort((left, right) => right[1] - left[1])
    .slice(0, MAX_SUMMARY_LOAD_ROWS);

/** Keeps the newest statement about each limit, and sums the requests of the members. */
const sumLimitRows = (reports: readonly MemberReport[]): readonly LimitRow[] => {
  const sums = new Map<EndpointId, LimitRow>();
  for (const row of reports.flatMap(({ report }) => report.limits)) {
    const [endpoint, limit, ageMs, requests] = row;
    const known = sums.get(endpoint);
    if (known === undefined) sums.set(endpoint, row);
    else {
      const [newestLimit, newestAgeMs] = ageMs < known[2] ? [limit, ageMs] : [known[1], known[2]];
      sums.set(endpoint, [endpoint, newestLimit, newestAgeMs, known[3] + requests]);
    }
  }
  return [...sums.values()].slice(0, MAX_REPORTED_LIMITS);
};

/** Chooses the next transfer from each leaving endpoint among those of the members. */
const mergeTransfers = (reports: readonly MemberReport[]): GroupSummary['transfers'] => {
  const next = new Map<EndpointId, GroupSummary['transfers'][number]>();
  for (const { report } of reports) {
    for (const [source, priority] of report.transfers) {
      const known = next.get(source);
      const isFirst =
        known === undefined ||
        priority > known[1] ||
        (priority === known[1] && report.process < known[2]);
      if (isFirst) next.set(source, [source, priority, report.process]);
    }
  }
  return [...next.values()];
};

/**
 * Builds the summary of a group from the reports of its members.
 *
 * @param group - name of the group
 * @param own - report of this daemon, which also lists what it learnt from its peers
 * @param members - reports of all members, with that of this daemon
 * @param now - current instant; reports older than `MAX_PEER_LOAD_AGE_MS` do not count
 * @returns the summary
 */
export const buildSummary = (
  group: GroupName,
  own: PeerReport,
  members: readonly MemberReport[],
  now: Millis,
): GroupSummary => {
  const recent = members.filter(({ receivedAt }) => now - receivedAt <= MAX_PEER_LOAD_AGE_MS);
  return {
    kind: 'summary',
    format: 3,
    fleet: own.fleet,
    group,
    hop: 'direct',
    members: recent
      .slice(0, MAX_SUMMARY_MEMBERS)
      .map(({ member: { dataCentre, host, process }, receivedAt }): MemberRow => {
        return [host, process, dataCentre, Math.round(now - receivedAt)];
      }),
    load: sumLoadRows(recent),
    transfers: mergeTransfers(recent),
    leaving: own.leaving,
    limits: sumLimitRows(recent),
    crashes: own.crashes,
    survivals: own.survivals,
  };
};

/**
 * Indexes the loads of a received message.
 *
 * @param message - message
 * @param receivedAt - instant of its receipt
 * @returns the message with its loads by endpoint
 */
export const toReceived = <Message extends PeerReport | GroupSummary>(
  message: Message,
  receivedAt: Millis,
): Received<Message> => ({ message, receivedAt, loads: toLoadsByEndpoint(message.load) });
