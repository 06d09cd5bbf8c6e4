import {
  CHANGE_REPEAT_MS,
  LEAVING_REPEAT_MS,
  MAX_PEER_LOAD_AGE_MS,
  MAX_REPORTED_LEAVING,
  MAX_REPORTED_LIMITS,
  MAX_REPORTED_LOAD_ROWS,
  MAX_SUMMARY_INTERVAL_MS,
  MIN_SUMMARY_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  SUMMARY_INTERVAL_MS,
  SUMMARY_RECEIVERS,
} from './constants.js';
import { readCrashMessage } from './crashReports.js';
import type { CrashMessage, CrashReportScope } from './crashReports.js';
import { listHostsFor } from './discovery.js';
import { countMembers, isLeader, pruneFleet, updateReportedSize } from './fleet.js';
import type { PeersState } from './fleet.js';
import { buildSummary, toReceived } from './summary.js';
import type { MemberReport } from './summary.js';
import type { GroupSummary, LimitRow, LoadRow, PeerMessage, PeerReport } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { FleetMember } from '../../decisions/membership/reportGroups.js';
import { splitFleet } from '../../decisions/membership/reportGroups.js';
import type { StringHash } from '../../decisions/membership/rendezvous.js';
import type { GatewayEffect } from '../effects.js';
import type { PeersEvent } from '../events.js';

export interface PeersInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This daemon. */
  readonly self: FleetMember;
  readonly hash: StringHash;
  readonly getSeeds: () => readonly string[];
  /** Lists the load of this daemon's requests on each endpoint. */
  readonly listOwnLoad: () => readonly LoadRow[];
  /**
   * Lists the endpoints of which this daemon learnt since an instant that they leave or were
   * removed.
   */
  readonly listLeaving: (since: Millis) => readonly EndpointId[];
  readonly listOwnTransfers: () => PeerReport['transfers'];
  readonly listLimits: () => readonly LimitRow[];
  readonly buildCrashMessage: (scope: CrashReportScope) => CrashMessage;
}

type Effects = GatewayEffect[];

const isLocalHost = (host: string, { self }: PeersInputs): boolean => host === self.host;

const buildReport = (
  state: PeersState,
  inputs: PeersInputs,
  scope: CrashReportScope,
): PeerReport => {
  const { process, dataCentre } = inputs.self;
  const now = inputs.clock.now();
  return {
    ...inputs.buildCrashMessage(scope),
    kind: 'report',
    format: 2,
    fleet: countMembers(state),
    process,
    dataCentre,
    transfers: inputs.listOwnTransfers(),
    limits: inputs.listLimits().slice(0, MAX_REPORTED_LIMITS),
    leaving: inputs.listLeaving(now - LEAVING_REPEAT_MS).slice(0, MAX_REPORTED_LEAVING),
    load: inputs.listOwnLoad().slice(0, MAX_REPORTED_LOAD_ROWS),
    hosts: listHostsFor(inputs.self, state, inputs.random),
    wants: 'nothing',
  };
};

/** Lists the reports of the own group, with that of this daemon. */
const listMemberReports = (
  { daemons, groups, reports }: PeersState,
  own: PeerReport,
  { clock, self }: PeersInputs,
): readonly MemberReport[] => [
  { member: self, receivedAt: clock.now(), report: own },
  ...groups.peers.flatMap((host): readonly MemberReport[] => {
    const member = daemons.get(host);
    const received = reports.get(host);
    if (member === undefined || received === undefined) return [];
    return [{ member, receivedAt: received.receivedAt, report: received.message }];
  }),
];

/**
 * Chooses the daemon of another group that receives a summary: one that was heard of lately, at
 * random, so that a lost daemon costs one message only.
 */
const chooseReceiver = (
  hosts: readonly string[],
  { daemons }: PeersState,
  { clock, random }: PeersInputs,
): readonly string[] => {
  const now = clock.now();
  const recent = hosts.filter(
    (host) => now - (daemons.get(host)?.heardAt ?? 0) <= MAX_PEER_LOAD_AGE_MS,
  );
  const choice = recent.length > 0 ? recent : hosts;
  return choice.slice(Math.floor(random.next() * choice.length)).slice(0, 1);
};

const sendSummary = (state: PeersState, own: PeerReport, inputs: PeersInputs): GatewayEffect => ({
  kind: 'send-peers',
  hosts: [...state.groups.others.values()].flatMap((hosts) => chooseReceiver(hosts, state, inputs)),
  message: buildSummary(
    state.groups.own,
    own,
    listMemberReports(state, own, inputs),
    inputs.clock.now(),
  ),
});

/** Sends the report to the own group and, if this daemon leads it, a summary to the others. */
const sendMessages = (
  state: PeersState,
  own: PeerReport,
  inputs: PeersInputs,
  minSummaryIntervalMs: Millis,
) => {
  const now = inputs.clock.now();
  const isSummaryDue =
    state.groups.others.size > 0 &&
    now - state.summarySentAt >= minSummaryIntervalMs &&
    isLeader(state, inputs.self.process, now);
  const report: GatewayEffect = { kind: 'send-peers', hosts: state.groups.peers, message: own };
  return isSummaryDue
    ? toStep<PeersState, GatewayEffect>(
        { ...state, summarySentAt: now },
        report,
        sendSummary(state, own, inputs),
      )
    : toStep<PeersState, GatewayEffect>(state, report);
};

/**
 * Contacts the seeds: the leader does so for its group, which may be cut from the others, and a
 * daemon that hears nobody for itself.
 */
const reportToSeeds = (state: PeersState, own: PeerReport, inputs: PeersInputs): Effects => {
  const now = inputs.clock.now();
  const isDue = state.reports.size === 0 || isLeader(state, inputs.self.process, now);
  if (!isDue) return [];
  const known = new Set(state.groups.peers);
  const hosts = inputs.getSeeds().filter((host) => !isLocalHost(host, inputs) && !known.has(host));
  if (hosts.length === 0) return [];
  return [{ kind: 'send-peers', hosts, message: { ...own, wants: 'hosts' } }];
};

const updateGroups = (state: PeersState, { hash, self }: PeersInputs): PeersState => {
  const groups = splitFleet(self, [...state.daemons.values()], hash);
  // The summaries of the other groups contain the loads of their daemons.
  for (const host of state.reports.keys()) {
    if (!groups.peers.includes(host)) state.reports.delete(host);
  }
  return { ...state, groups };
};

/**
 * Computes the interval between summaries, which grows with the number of their receivers. After a
 * change it is short, since the first summary with it may be lost.
 */
const computeSummaryInterval = ({ changedAt, groups }: PeersState, now: Millis): Millis => {
  if (now - changedAt < CHANGE_REPEAT_MS) return SUMMARY_INTERVAL_MS;
  const intervalMs = SUMMARY_INTERVAL_MS * Math.max(1, groups.others.size / SUMMARY_RECEIVERS);
  return Math.min(MAX_SUMMARY_INTERVAL_MS, intervalMs);
};

const handleReportDue = (state: PeersState, inputs: PeersInputs) => {
  const now = inputs.clock.now();
  const next: GatewayEffect = {
    kind: 'schedule',
    delayMs: REPORT_INTERVAL_MS,
    event: { to: 'peers', kind: 'report-due' },
  };
  const isFull = now - state.fullReportAt >= SEED_INTERVAL_MS;
  if (isFull) pruneFleet(state, now);
  const current = isFull ? { ...updateGroups(state, inputs), fullReportAt: now } : state;
  const own = buildReport(current, inputs, isFull ? 'quarantines' : 'recent');
  const sent = sendMessages(current, own, inputs, computeSummaryInterval(current, now));
  const seeds = isFull ? reportToSeeds(current, own, inputs) : [];
  return { state: sent.state, effects: [next, ...sent.effects, ...seeds] };
};

/** Publishes what a message says about endpoints and the requests that crashed them. */
const publishContents = (message: PeerMessage, now: Millis): Effects => {
  const effects: Effects = [];
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
      event: { to: 'statements', kind: 'limit-reported', endpoint, requestsPerSecond, observedAt },
    });
  }
  for (const endpoint of message.leaving) {
    const report = { phase: 'leaving' } as const;
    effects.push({
      kind: 'post',
      event: { to: 'membership', kind: 'report-read', endpoint, report },
    });
  }
  return effects;
};

const describeFound = ({ host, process }: FleetMember): GatewayEffect => ({
  kind: 'log',
  name: 'peer-found',
  details: { data: { process, host } },
});

const receiveReport = (
  state: PeersState,
  host: string,
  message: PeerReport,
  inputs: PeersInputs,
): Step<PeersState, GatewayEffect> => {
  const now = inputs.clock.now();
  const { dataCentre, process } = message;
  const member = { host, process, dataCentre };
  const isNew = !state.daemons.has(host);
  state.daemons.set(host, { ...member, heardAt: now });
  state.members.set(host, now);
  const unknown = message.hosts.filter(
    (other) =>
      !isLocalHost(other, inputs) && !state.daemons.has(other) && !state.contacted.has(other),
  );
  for (const other of unknown) state.contacted.set(other, now);
  const reportedSize = updateReportedSize(state.reportedSize, message.fleet, now);
  const current = { ...(isNew ? updateGroups(state, inputs) : state), reportedSize };
  const isInGroup = current.groups.peers.includes(host);
  if (isInGroup) state.reports.set(host, toReceived(message, now));
  const effects: Effects = publishContents(message, now);
  if (isNew) effects.push(describeFound(member));
  if (unknown.length > 0) {
    const own: PeerReport = { ...buildReport(current, inputs, 'recent'), wants: 'hosts' };
    effects.unshift({ kind: 'send-peers', hosts: unknown, message: own });
  }
  // The regular reports do not go to a daemon of another group, which looks for its own.
  if (message.wants === 'hosts' && !isInGroup) {
    const hosts = listHostsFor(member, current, inputs.random);
    const own = { ...buildReport(current, inputs, 'recent'), hosts };
    effects.push({ kind: 'send-peers', hosts: [host], message: own });
  }
  return { state: current, effects };
};

const receiveSummary = (
  state: PeersState,
  message: GroupSummary,
  inputs: PeersInputs,
): Step<PeersState, GatewayEffect> => {
  const now = inputs.clock.now();
  const found: Effects = [];
  for (const [host, process, dataCentre, ageMs] of message.members) {
    if (isLocalHost(host, inputs)) continue;
    const member = { host, process, dataCentre };
    const known = state.daemons.get(host);
    if (known === undefined) found.push(describeFound(member));
    const heardAt = Math.max(known?.heardAt ?? 0, now - Math.max(0, ageMs));
    state.daemons.set(host, { ...member, heardAt });
    state.members.set(host, heardAt);
  }
  const reportedSize = updateReportedSize(state.reportedSize, message.fleet, now);
  const current = { ...(found.length > 0 ? updateGroups(state, inputs) : state), reportedSize };
  // A leader with another view of the fleet may summarize reports that also arrive directly.
  if (message.group === current.groups.own) return { state: current, effects: found };
  state.summaries.set(message.group, toReceived(message, now));
  const relayed: Effects =
    message.hop === 'relayed'
      ? []
      : [
          {
            kind: 'send-peers',
            hosts: current.groups.peers,
            message: { ...message, hop: 'relayed' },
          },
        ];
  return { state: current, effects: [...relayed, ...publishContents(message, now), ...found] };
};

const receiveMessage = (
  state: PeersState,
  { host, message }: Extract<PeersEvent, { kind: 'peer-report-received' }>,
  inputs: PeersInputs,
): Step<PeersState, GatewayEffect> => {
  if (isLocalHost(host, inputs)) return toStep<PeersState, GatewayEffect>(state);
  switch (message.kind) {
    case 'report':
      return receiveReport(state, host, message, inputs);
    case 'summary':
      return receiveSummary(state, message, inputs);
    default:
      return assertNever(message);
  }
};

/**
 * Creates the decision logic of the `peers` child, which exchanges reports with the other gateway
 * daemons. Those of its group receive its reports; the leader of a group sends a summary to one
 * daemon of each other group, which relays it. The next message repeats the contents of a lost
 * datagram, so a loss only delays them.
 *
 * @param inputs - clock, this daemon and the contents of the reports
 * @returns the decision logic
 */
export const createPeersLogic = (
  inputs: PeersInputs,
): ChildLogic<PeersState, PeersEvent, GatewayEffect> => ({
  init: () =>
    toStep<PeersState, GatewayEffect>(
      {
        startedAt: inputs.clock.now(),
        daemons: new Map(),
        members: new Map(),
        reportedSize: null,
        reports: new Map(),
        summaries: new Map(),
        contacted: new Map(),
        groups: splitFleet(inputs.self, [], inputs.hash),
        fullReportAt: 0,
        summarySentAt: 0,
        changedAt: 0,
      },
      { kind: 'post', event: { to: 'peers', kind: 'report-due' } },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'report-due':
        return handleReportDue(state, inputs);
      case 'report-changed':
        return sendMessages(
          { ...state, changedAt: inputs.clock.now() },
          buildReport(state, inputs, 'recent'),
          inputs,
          MIN_SUMMARY_INTERVAL_MS,
        );
      case 'peer-report-received':
        return receiveMessage(state, event, inputs);
      default:
        return assertNever(event);
    }
  },
});
