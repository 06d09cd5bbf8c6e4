import type { PeersState } from '../peers/fleet.js';
import { toReceived } from '../peers/summary.js';
import type { PeerReport } from '../peers/types.js';
import type { RequestsState } from '../requests/types.js';

/**
 * Builds what a daemon knows of others in its data centre.
 *
 * @param reports - their last reports
 * @returns the state of the `peers` child
 */
export const buildPeers = (reports: readonly PeerReport[]): PeersState => {
  const hosts = reports.map((report) => ({ report, host: `10.0.0.${report.process.slice(2)}` }));
  return {
    daemons: new Map(
      hosts.map(({ host, report: { process } }) => [
        host,
        { host, process, dataCentre: 'dc-a', heardAt: 1_000 },
      ]),
    ),
    members: new Map(hosts.map(({ host }) => [host, 1_000])),
    reportedSize: null,
    reports: new Map(hosts.map(({ host, report }) => [host, toReceived(report, 1_000)])),
    summaries: new Map(),
    contacted: new Map(),
    groups: { own: 'all', peers: hosts.map(({ host }) => host), others: new Map() },
    startedAt: 0,
    fullReportAt: 0,
    summarySentAt: 0,
    changedAt: 0,
  };
};

/**
 * Creates the state of a daemon without requests.
 *
 * @returns the state of the `requests` child
 */
export const createRequests = (): RequestsState => ({
  inFlight: new Map(),
  runStops: new Map(),
  answerBytes: 0,
  startedAt: 0,
  budgets: new Map(),
  sentTimes: new Map<string, number[]>(),
  waiting: new Map(),
  scheduledRooms: new Set<string>(),
  recentUse: new Map(),
  urgentNeeds: new Map(),
});
