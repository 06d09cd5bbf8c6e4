import {
  CRASH_REPEAT_MS,
  LEAVING_REPEAT_MS,
  MAX_LOAD_ROWS,
  MAX_NAMED_CRASHES,
  MAX_NAMED_HOSTS,
  MAX_NAMED_LEAVING,
  MAX_REPORT_TARGETS,
  PEER_FORGET_MS,
  PEER_LOAD_AGE_MS,
  REPORT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  TURN_REPORTS,
} from './constants.js';
import type { LoadRow, Peer, PeerMessage } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeForward.js';
import type { GatewayEffect, PeersEvent } from '../events.js';
import { addLoads, NO_LOAD } from '../requests/load.js';

/** Other gateway daemons; the map is updated in place by this child alone. */
export interface PeersState {
  readonly peers: Map<string, Peer>;
  readonly seedsAskedAt: Millis;
}

export interface PeersInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly process: string;
  readonly ownHost: string;
  readonly getSeeds: () => readonly string[];
  /** Work of this daemon by endpoint. */
  readonly listOwnLoad: () => readonly LoadRow[];
  /** Endpoints that this daemon has learnt to leave since an instant. */
  readonly listLeaving: (since: Millis) => readonly EndpointId[];
  readonly listOwnTransfers: () => PeerMessage['transfers'];
  /** Crashes that this daemon saw since an instant. */
  readonly listCrashes: (since: Millis) => readonly (readonly [string, string])[];
  /** Takes crashes that another daemon saw. */
  readonly addCrash: (fingerprint: string, endpoint: string) => void;
}

/**
 * Sums the work of the peers on an endpoint.
 *
 * @param state - peers as they were last heard
 * @param endpoint - endpoint to sum for
 * @param now - current instant; older reports do not count
 * @returns the sum
 */
export const sumPeerLoad = (state: PeersState, endpoint: EndpointId, now: Millis): EndpointLoad => {
  let sum = NO_LOAD;
  for (const { heardAt, message } of state.peers.values()) {
    if (now - heardAt > PEER_LOAD_AGE_MS) continue;
    for (const row of message.load) {
      if (row[0] !== endpoint) continue;
      const [, requests, tokens, waitingTokens] = row;
      sum = addLoads(sum, { requests, tokens, waitingTokens });
    }
  }
  return sum;
};

/**
 * Counts the daemons that share a budget, this one included.
 *
 * @param state - peers as they were last heard
 * @returns the number
 */
export const countDaemons = (state: PeersState): number => state.peers.size + 1;

/** A daemon's next generation to take from an endpoint that leaves. */
export interface TransferTurn {
  readonly source: EndpointId;
  readonly worth: number;
  readonly process: string;
}

/**
 * Tells whether another daemon's generation goes first. The one with most worth does, as some may
 * be lost; the names decide between equals, so that all daemons agree.
 *
 * @param state - peers as they were last heard
 * @param turn - this daemon's next generation
 * @param now - current instant; older reports do not count
 * @returns whether this daemon has to wait
 */
export const hasPeerBefore = (state: PeersState, turn: TransferTurn, now: Millis): boolean =>
  [...state.peers.values()].some(
    ({ heardAt, message }) =>
      now - heardAt <= TURN_REPORTS * REPORT_INTERVAL_MS &&
      message.transfers.some(
        ([source, worth]) =>
          source === turn.source &&
          (worth > turn.worth || (worth === turn.worth && message.process < turn.process)),
      ),
  );

/**
 * Counts the daemons that are heard now, this one included. One that is cut off from the others
 * cannot rely on what they learn.
 *
 * @param state - peers as they were last heard
 * @param now - current instant
 * @returns the number
 */
export const countHeard = (state: PeersState, now: Millis): number =>
  1 + [...state.peers.values()].filter(({ heardAt }) => now - heardAt <= PEER_LOAD_AGE_MS).length;

const chooseTargets = (state: PeersState, inputs: PeersInputs, now: Millis): readonly string[] => {
  const known = [...state.peers.values()].map(({ host }) => host);
  const isSeedTurn = now - state.seedsAskedAt >= SEED_INTERVAL_MS;
  const seeds = isSeedTurn ? inputs.getSeeds() : [];
  const all = [...new Set([...known, ...seeds])].filter((host) => host !== inputs.ownHost);
  if (all.length <= MAX_REPORT_TARGETS) return all;
  const start = Math.floor(inputs.random.next() * all.length);
  return [...all.slice(start), ...all.slice(0, start)].slice(0, MAX_REPORT_TARGETS);
};

const buildMessage = (state: PeersState, inputs: PeersInputs, now: Millis): PeerMessage => ({
  format: 2,
  process: inputs.process,
  transfers: inputs.listOwnTransfers(),
  leaving: inputs.listLeaving(now - LEAVING_REPEAT_MS).slice(0, MAX_NAMED_LEAVING),
  load: inputs.listOwnLoad().slice(0, MAX_LOAD_ROWS),
  hosts: [...state.peers.values()].slice(0, MAX_NAMED_HOSTS).map(({ host }) => host),
  crashes: inputs.listCrashes(now - CRASH_REPEAT_MS).slice(-MAX_NAMED_CRASHES),
});

const sendReport = (state: PeersState, inputs: PeersInputs): GatewayEffect => {
  const now = inputs.clock.now();
  const hosts = chooseTargets(state, inputs, now);
  return { kind: 'send-peers', hosts, message: buildMessage(state, inputs, now) };
};

const report = (state: PeersState, inputs: PeersInputs) => {
  const now = inputs.clock.now();
  for (const [name, peer] of state.peers) {
    if (now - peer.heardAt > PEER_FORGET_MS) state.peers.delete(name);
  }
  const isSeedTurn = now - state.seedsAskedAt >= SEED_INTERVAL_MS;
  const next = isSeedTurn ? { ...state, seedsAskedAt: now } : state;
  return toStep<PeersState, GatewayEffect>(
    next,
    {
      kind: 'schedule',
      delayMs: REPORT_INTERVAL_MS,
      event: { to: 'peers', kind: 'report-due' },
    },
    sendReport(state, inputs),
  );
};

const receiveReport = (
  state: PeersState,
  event: Extract<PeersEvent, { kind: 'peer-heard' }>,
  inputs: PeersInputs,
) => {
  const { host, message } = event;
  if (host === inputs.ownHost) return toStep<PeersState, GatewayEffect>(state);
  const now = inputs.clock.now();
  const known = state.peers.get(host);
  state.peers.set(host, { host, heardAt: now, message });
  for (const [fingerprint, endpoint] of message.crashes) inputs.addCrash(fingerprint, endpoint);
  const unknown = message.hosts.filter(
    (named) => named !== inputs.ownHost && !state.peers.has(named),
  );
  const effects: GatewayEffect[] =
    unknown.length === 0
      ? []
      : [{ kind: 'send-peers', hosts: unknown, message: buildMessage(state, inputs, now) }];
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
 * Creates the child that exchanges loads and crashes with the other gateway daemons. A lost
 * datagram costs freshness only.
 *
 * @param inputs - clock, addresses and the figures to report
 * @returns the decisions of the child
 */
export const createPeersLogic = (
  inputs: PeersInputs,
): ChildLogic<PeersState, PeersEvent, GatewayEffect> => ({
  init: () =>
    toStep<PeersState, GatewayEffect>(
      { peers: new Map(), seedsAskedAt: 0 },
      { kind: 'post', event: { to: 'peers', kind: 'report-due' } },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'report-due':
        return report(state, inputs);
      case 'report-changed':
        return toStep<PeersState, GatewayEffect>(state, sendReport(state, inputs));
      case 'peer-heard':
        return receiveReport(state, event, inputs);
      default:
        return assertNever(event);
    }
  },
});
