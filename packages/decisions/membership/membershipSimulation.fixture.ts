import { HEARTBEAT_INTERVAL_MS } from './constants.js';
import { checkNewWork, decideLease, initLease } from './lease.js';
import type { LeaseEvent, LeaseState } from './leaseTypes.js';
import { checkEligibility, decideMembership, initMembership } from './membership.js';
import type { MembershipEvent, MembershipState } from './types.js';
import type { RandomSource } from '../../core/random.js';
import { createRandomSource } from '../../core/random.js';

/** Active checks of new work: eligibility at the entry daemon, lease at the endpoint daemon. */
export type Enforcement = 'both' | 'entry-only' | 'endpoint-only';

export interface SimulationResult {
  /** Requests that an affected endpoint accepted later than 3 s after the change. */
  readonly acceptedLate: number;
  /** Requests that were sent to it later than 3 s after the change, accepted or not. */
  readonly sentLate: number;
  /** Requests that it accepted before the change; 0 would mean that a run proves nothing. */
  readonly acceptedBefore: number;
}

interface Process {
  /** Messages in transit to the process or queued while it is paused, in order of sending. */
  readonly inbox: { readonly at: number; readonly handle: () => void }[];
  /** Pauses as [from, to] pairs. */
  readonly pauses: readonly (readonly [number, number])[];
}

interface Entry extends Process {
  readonly log: 'up' | 'out';
  membership: MembershipState<null>;
  lastRunAt: number;
}

interface Endpoint extends Process {
  readonly id: string;
  readonly dataCentre: string;
  lease: LeaseState;
  sequence: number;
}

const STEP_MS = 50;
const CHANGE_AT_MS = 6_000;
const END_AT_MS = 14_000;
const PROPAGATION_BOUND_MS = 3_000;
const MAX_DELAY_MS = 400;
const PEER_INTERVAL_MS = 500;
const HEARTBEAT_TARGETS = ['0', '1', '2'];
const INCARNATION = 'i1';

const sampleBetween = (random: RandomSource, from: number, to: number): number =>
  from + random.next() * (to - from);

const samplePauses = (random: RandomSource): readonly (readonly [number, number])[] => {
  const from = sampleBetween(random, CHANGE_AT_MS - 3_000, CHANGE_AT_MS + 3_000);
  return random.next() < 0.5 ? [] : [[from, from + sampleBetween(random, 100, 5_000)]];
};

/**
 * Simulates one change to three entry and four endpoint daemons in two data centres.
 *
 * At 6 s endpoint `n0` leaves, or an operator takes data centre `east` out through the second entry
 * daemon. Faults: messages take up to 400 ms or are lost, but never two in a row on one link;
 * processes pause for up to 5 s while messages queue; the instance list lags up to 10 s; the first
 * entry daemon reaches neither the log nor its peers.
 *
 * @param seed - seed of all faults
 * @param change - change to simulate
 * @param enforcement - active checks
 * @returns numbers of accepted and sent requests
 */
export const runMembershipChange = (
  seed: number,
  change: 'endpoint-leaves' | 'data-centre-out',
  enforcement: Enforcement,
): SimulationResult => {
  const random = createRandomSource(seed);
  const lossShare = random.next() * 0.6;
  const listLag = random.next() * 10_000;
  const lastLost = new Map<string, boolean>();
  let now = 0;
  let acceptedLate = 0;
  let sentLate = 0;
  let acceptedBefore = 0;

  const entries: readonly Entry[] = [0, 1, 2].map((index) => ({
    inbox: [],
    pauses: index === 1 ? [] : samplePauses(random),
    log: index === 0 ? 'out' : 'up',
    membership: initMembership(),
    lastRunAt: 0,
  }));
  const endpoints: readonly Endpoint[] = [0, 1, 2, 3].map((index) => ({
    inbox: [],
    pauses: samplePauses(random),
    id: `n${index.toString()}`,
    dataCentre: index < 2 ? 'east' : 'west',
    lease: initLease(INCARNATION),
    sequence: 0,
  }));

  const isPaused = (process: Process): boolean =>
    process.pauses.some(([from, to]) => now >= from && now < to);

  const post = (process: Process, delay: number, handle: () => void): void => {
    process.inbox.push({ at: now + delay, handle });
  };

  const sendOver = (link: string, process: Process, handle: () => void): void => {
    const isLost = lastLost.get(link) !== true && random.next() < lossShare;
    lastLost.set(link, isLost);
    if (!isLost) post(process, random.next() * MAX_DELAY_MS, handle);
  };

  const stepEntry = (entry: Entry, event: MembershipEvent<null>): void => {
    entry.membership = decideMembership(entry.membership, event).state;
  };

  const stepLease = (endpoint: Endpoint, event: LeaseEvent): void => {
    endpoint.lease = decideLease(endpoint.lease, event).state;
  };

  const applyDataCentreOut = (entry: Entry): void => {
    stepEntry(entry, { kind: 'configuration', dataCentresOut: ['east'], offset: 1 });
  };

  const isAffected = (endpoint: Endpoint): boolean =>
    change === 'data-centre-out' ? endpoint.dataCentre === 'east' : endpoint.id === 'n0';

  const acknowledge = (entry: Entry, endpoint: Endpoint, sequence: number, link: string): void => {
    const offset = entry.membership.configurationOffset;
    const dataCentre = entry.membership.dataCentresOut.has(endpoint.dataCentre) ? 'out' : 'in';
    const from = entries.indexOf(entry).toString();
    sendOver(`${link} back`, endpoint, () => {
      stepLease(endpoint, { kind: 'configuration', dataCentre, offset });
      stepLease(endpoint, { kind: 'heartbeat-acknowledged', sequence, from, now });
    });
  };

  const sendHeartbeats = (endpoint: Endpoint): void => {
    endpoint.sequence += 1;
    const { id, dataCentre, sequence, lease } = endpoint;
    const phase = lease.presence === 'leaving' ? 'draining' : 'serving';
    stepLease(endpoint, { kind: 'heartbeat-sent', sequence, targets: HEARTBEAT_TARGETS, now });
    entries.forEach((entry, index) => {
      const link = `${id} to ${index.toString()}`;
      const heartbeat = {
        endpoint: id,
        dataCentre,
        incarnation: INCARNATION,
        sequence,
        phase,
        report: null,
      } as const;
      sendOver(link, entry, () => {
        const step = decideMembership(entry.membership, { kind: 'heartbeat', heartbeat, now });
        entry.membership = step.state;
        const isAccepted = step.effects.some((effect) => effect.kind === 'acknowledge');
        if (isAccepted) acknowledge(entry, endpoint, sequence, link);
      });
    });
  };

  const handleWork = (endpoint: Endpoint): void => {
    const refusal = checkNewWork(endpoint.lease, INCARNATION, now);
    if (enforcement !== 'entry-only' && refusal !== null) return;
    if (!isAffected(endpoint)) return;
    if (now > CHANGE_AT_MS + PROPAGATION_BOUND_MS) acceptedLate += 1;
    if (now < CHANGE_AT_MS) acceptedBefore += 1;
  };

  const sendWork = (entry: Entry, endpoint: Endpoint): void => {
    const eligibility = checkEligibility(entry.membership, endpoint.id, now);
    if (eligibility === 'unknown') return;
    if (enforcement !== 'endpoint-only' && eligibility !== 'eligible') return;
    if (isAffected(endpoint) && now > CHANGE_AT_MS + PROPAGATION_BOUND_MS) sentLate += 1;
    post(endpoint, random.next() * MAX_DELAY_MS, () => {
      handleWork(endpoint);
    });
  };

  const runInbox = (process: Process): void => {
    const due = process.inbox.filter((message) => message.at <= now);
    const waiting = process.inbox.filter((message) => message.at > now);
    process.inbox.splice(0, process.inbox.length, ...waiting);
    for (const message of due.sort((left, right) => left.at - right.at)) message.handle();
  };

  const runEntry = (entry: Entry): void => {
    if (isPaused(entry)) return;
    if (now - entry.lastRunAt > 1_000) stepEntry(entry, { kind: 'process-paused', now });
    entry.lastRunAt = now;
    // Sends work before the inbox is read, which is the worst order after a pause.
    for (const endpoint of endpoints) sendWork(entry, endpoint);
    runInbox(entry);
    stepEntry(entry, { kind: 'tick', now });
    const isChanged = change === 'data-centre-out' && now >= CHANGE_AT_MS;
    if (isChanged && entry.log === 'up' && now % PEER_INTERVAL_MS === 0) applyDataCentreOut(entry);
    const isListed = change === 'endpoint-leaves' && now >= CHANGE_AT_MS + listLag;
    const instances = endpoints.map(({ id, dataCentre }) => ({
      endpoint: id,
      dataCentre,
      state: isListed && id === 'n0' ? ('leaving' as const) : ('live' as const),
    }));
    if (now % 1_000 === 0) stepEntry(entry, { kind: 'instance-list', instances, now });
  };

  const runEndpoint = (endpoint: Endpoint): void => {
    if (isPaused(endpoint)) return;
    runInbox(endpoint);
    if (now % HEARTBEAT_INTERVAL_MS === 0) sendHeartbeats(endpoint);
    stepLease(endpoint, { kind: 'tick', now });
  };

  for (now = 0; now < END_AT_MS; now += STEP_MS) {
    if (now === CHANGE_AT_MS && change === 'endpoint-leaves') {
      const leaving = endpoints[0] as Endpoint;
      post(leaving, 0, () => {
        stepLease(leaving, { kind: 'leave' });
      });
    }
    if (now === CHANGE_AT_MS && change === 'data-centre-out')
      applyDataCentreOut(entries[1] as Entry);
    entries.forEach(runEntry);
    endpoints.forEach(runEndpoint);
  }
  return { acceptedLate, sentLate, acceptedBefore };
};

/**
 * Merges the results of the seeds from 1 to `runs`.
 *
 * @param runs - number of seeds
 * @param change - change to simulate in each run
 * @param enforcement - active checks
 * @returns sums over all runs, and the minimum of `acceptedBefore`
 */
export const runManyChanges = (
  runs: number,
  change: 'endpoint-leaves' | 'data-centre-out',
  enforcement: Enforcement,
): SimulationResult =>
  Array.from({ length: runs }, (_, index) =>
    runMembershipChange(index + 1, change, enforcement),
  ).reduce((sum, result) => ({
    acceptedLate: sum.acceptedLate + result.acceptedLate,
    sentLate: sum.sentLate + result.sentLate,
    acceptedBefore: Math.min(sum.acceptedBefore, result.acceptedBefore),
  }));
