import {
  LEAVING_REPEAT_MS,
  MAX_REPORTED_LOAD_ROWS,
  MAX_REPORTED_HOSTS,
  MAX_REPORTED_LIMITS,
  MAX_REPORTED_LEAVING,
  MAX_REPORT_TARGETS,
  PEER_EXPIRY_MS,
  MAX_PEER_LOAD_AGE_MS,
  REPORT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  MAX_MISSED_REPORTS,
} from './constants.js';
import { readCrashMessage } from './crashReports.js';
import type { CrashMessage, CrashReportScope } from './crashReports.js';
import type { LimitRow, LoadRow, Peer, PeerMessage } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';
import type { RequestLimit } from '../../decisions/forwarding/requestLimit.js';
import type { GatewayEffect, PeersEvent } from '../events.js';
import { addLoads, NO_LOAD } from '../requests/load.js';

/** Other gateway daemons by host. Only the `peers` child updates the map, in place. */
export interface PeersState {
  readonly peers: Map<string, Peer>;
  readonly seedsContactedAt: Millis;
}

export interface PeersInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly process: string;
  readonly ownHost: string;
  readonly getSeeds: () => readonly string[];
  /** Lists the load of this daemon's requests on each endpoint. */
  readonly listOwnLoad: () => readonly LoadRow[];
  /**
   * Lists the endpoints of which this daemon learnt since an instant that they leave or were
   * removed.
   */
  readonly listLeaving: (since: Millis) => readonly EndpointId[];
  readonly listOwnTransfers: () => PeerMessage['transfers'];
  readonly listLimits: () => readonly LimitRow[];
  readonly buildCrashMessage: (scope: CrashReportScope) => CrashMessage;
}

/**
 * Sums the load of the peers on an endpoint.
 *
 * @param state - peers and their last reports
 * @param endpoint - endpoint of the load
 * @param now - current instant; reports older than `MAX_PEER_LOAD_AGE_MS` do not count
 * @returns the sum
 */
export const sumPeerLoad = (state: PeersState, endpoint: EndpointId, now: Millis): EndpointLoad => {
  let sum = NO_LOAD;
  for (const { receivedAt, message } of state.peers.values()) {
    if (now - receivedAt > MAX_PEER_LOAD_AGE_MS) continue;
    for (const row of message.load) {
      if (row[0] !== endpoint) continue;
      const [, requests, tokens, waitingTokens] = row;
      sum = addLoads(sum, { requests, tokens, waitingTokens });
    }
  }
  return sum;
};

/**
 * Counts the daemons that share a retry budget, including this one.
 *
 * @param state - peers and their last reports
 * @returns the number of daemons
 */
export const countDaemons = (state: PeersState): number => state.peers.size + 1;

/**
 * Lists the names of the other daemons.
 *
 * @param state - peers and their last reports
 * @returns the names of their processes
 */
export const listPeerProcesses = (state: PeersState): readonly string[] =>
  [...state.peers.values()].map(({ message }) => message.process);

/**
 * Counts the requests of the peers to an endpoint that states a limit.
 *
 * @param state - peers and their last reports
 * @param endpoint - endpoint with the limit
 * @param now - current instant
 * @returns the reported requests, and the peers whose reports are older than `MAX_PEER_LOAD_AGE_MS`
 */
export const countPeerRequests = (
  state: PeersState,
  endpoint: EndpointId,
  now: Millis,
): Pick<RequestLimit, 'peerRequests' | 'silentDaemons'> => {
  let peerRequests = 0;
  let silentDaemons = 0;
  for (const { message, receivedAt } of state.peers.values()) {
    if (now - receivedAt > MAX_PEER_LOAD_AGE_MS) silentDaemons += 1;
    else peerRequests += message.limits.find(([id]) => id === endpoint)?.[3] ?? 0;
  }
  return { peerRequests, silentDaemons };
};

/** Next transfer of a generation by a daemon from a leaving endpoint. */
export interface PendingTransfer {
  readonly source: EndpointId;
  readonly priority: number;
  readonly process: string;
}

/**
 * Reports whether another daemon transfers a generation from the same endpoint first. The highest
 * priority is transferred first, since there may not be time for all transfers. The names of the
 * daemons break ties, so that all daemons agree.
 *
 * @param state - peers and their last reports
 * @param transfer - this daemon's next transfer
 * @param now - current instant; peers that missed `MAX_MISSED_REPORTS` reports do not count
 * @returns true when this daemon has to wait
 */
export const isPrecededByPeer = (
  state: PeersState,
  transfer: PendingTransfer,
  now: Millis,
): boolean =>
  [...state.peers.values()].some(
    ({ receivedAt, message }) =>
      now - receivedAt <= MAX_MISSED_REPORTS * REPORT_INTERVAL_MS &&
      message.transfers.some(
        ([source, priority]) =>
          source === transfer.source &&
          (priority > transfer.priority ||
            (priority === transfer.priority && message.process < transfer.process)),
      ),
  );

/**
 * Counts the daemons whose reports arrive at present, including this one. A daemon that is
 * partitioned from the others cannot rely on their reports of leaving endpoints.
 *
 * @param state - peers and their last reports
 * @param now - current instant; reports older than `MAX_PEER_LOAD_AGE_MS` do not count
 * @returns the number of daemons
 */
export const countReachableDaemons = (state: PeersState, now: Millis): number =>
  1 +
  [...state.peers.values()].filter(({ receivedAt }) => now - receivedAt <= MAX_PEER_LOAD_AGE_MS)
    .length;

const chooseTargets = (state: PeersState, inputs: PeersInputs, now: Millis): readonly string[] => {
  const known = [...state.peers.values()].map(({ host }) => host);
  const isSeedContactDue = now - state.seedsContactedAt >= SEED_INTERVAL_MS;
  const seeds = isSeedContactDue ? inputs.getSeeds() : [];
  const all = [...new Set([...known, ...seeds])].filter((host) => host !== inputs.ownHost);
  if (all.length <= MAX_REPORT_TARGETS) return all;
  const start = Math.floor(inputs.random.next() * all.length);
  return [...all.slice(start), ...all.slice(0, start)].slice(0, MAX_REPORT_TARGETS);
};

const buildMessage = (
  state: PeersState,
  inputs: PeersInputs,
  now: Millis,
  scope: CrashReportScope = 'recent',
): PeerMessage => ({
  ...inputs.buildCrashMessage(scope),
  format: 2,
  process: inputs.process,
  transfers: inputs.listOwnTransfers(),
  limits: inputs.listLimits().slice(0, MAX_REPORTED_LIMITS),
  leaving: inputs.listLeaving(now - LEAVING_REPEAT_MS).slice(0, MAX_REPORTED_LEAVING),
  load: inputs.listOwnLoad().slice(0, MAX_REPORTED_LOAD_ROWS),
  hosts: [...state.peers.values()].slice(0, MAX_REPORTED_HOSTS).map(({ host }) => host),
});

const sendReport = (
  state: PeersState,
  inputs: PeersInputs,
  scope: CrashReportScope,
): GatewayEffect => {
  const now = inputs.clock.now();
  const hosts = chooseTargets(state, inputs, now);
  return { kind: 'send-peers', hosts, message: buildMessage(state, inputs, now, scope) };
};

const handleReportDue = (state: PeersState, inputs: PeersInputs) => {
  const now = inputs.clock.now();
  for (const [host, peer] of state.peers) {
    if (now - peer.receivedAt > PEER_EXPIRY_MS) state.peers.delete(host);
  }
  const isSeedContactDue = now - state.seedsContactedAt >= SEED_INTERVAL_MS;
  const next = isSeedContactDue ? { ...state, seedsContactedAt: now } : state;
  return toStep<PeersState, GatewayEffect>(
    next,
    {
      kind: 'schedule',
      delayMs: REPORT_INTERVAL_MS,
      event: { to: 'peers', kind: 'report-due' },
    },
    sendReport(state, inputs, isSeedContactDue ? 'quarantines' : 'recent'),
  );
};

const receiveReport = (
  state: PeersState,
  event: Extract<PeersEvent, { kind: 'peer-report-received' }>,
  inputs: PeersInputs,
) => {
  const { host, message } = event;
  if (host === inputs.ownHost) return toStep<PeersState, GatewayEffect>(state);
  const now = inputs.clock.now();
  const known = state.peers.get(host);
  state.peers.set(host, { host, receivedAt: now, message });
  const unknown = message.hosts.filter(
    (other) => other !== inputs.ownHost && !state.peers.has(other),
  );
  const effects: GatewayEffect[] =
    unknown.length === 0
      ? []
      : [{ kind: 'send-peers', hosts: unknown, message: buildMessage(state, inputs, now) }];
  if (message.crashes.length + message.survivals.length > 0) {
    const report = readCrashMessage(message, now);
    effects.push({
      kind: 'post',
      event: { to: 'quarantine', kind: 'crashes-reported', ...report },
    });
  }
  for (const [endpoint, requestsPerSecond, ageMs] of message.limits) {
    const observedAt = now - ageMs;
    effects.push({
      kind: 'post',
      event: { to: 'membership', kind: 'limit-observed', endpoint, requestsPerSecond, observedAt },
    });
  }
  for (const endpoint of message.leaving) {
    const report = { phase: 'leaving' } as const;
    effects.push({
      kind: 'post',
      event: { to: 'membership', kind: 'report-read', endpoint, report },
    });
  }
  if (known === undefined) {
    effects.push({
      kind: 'log',
      name: 'peer-found',
      details: { data: { process: message.process, host } },
    });
  }
  return { state, effects };
};

/**
 * Creates the decision logic of the `peers` child, which exchanges reports with the other gateway
 * daemons. The next report repeats the contents of a lost datagram, so a loss only delays them.
 *
 * @param inputs - clock, addresses and the contents of the reports
 * @returns the decision logic
 */
export const createPeersLogic = (
  inputs: PeersInputs,
): ChildLogic<PeersState, PeersEvent, GatewayEffect> => ({
  init: () =>
    toStep<PeersState, GatewayEffect>(
      { peers: new Map(), seedsContactedAt: 0 },
      { kind: 'post', event: { to: 'peers', kind: 'report-due' } },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'report-due':
        return handleReportDue(state, inputs);
      case 'report-changed':
        return toStep<PeersState, GatewayEffect>(state, sendReport(state, inputs, 'recent'));
      case 'peer-report-received':
        return receiveReport(state, event, inputs);
      default:
        return assertNever(event);
    }
  },
});
