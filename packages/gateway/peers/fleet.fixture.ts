import { isPrecededByPeer, sumPeerLoad } from './fleet.js';
import type { PeersState } from './fleet.js';
import { createPeersLogic } from './peers.js';
import type { LoadRow, PeerMessage } from './types.js';
import { createVirtualClock } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import type { GatewayEffect } from '../effects.js';
import type { PeersEvent } from '../events.js';

/** Size of a simulated fleet and the share of datagrams that its network loses. */
export interface FleetOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly lossShare: number;
  readonly seed: number;
}

/** Datagrams and bytes that one daemon sent. */
export interface Traffic {
  readonly sent: number;
  readonly bytes: number;
  readonly bytesBetweenDataCentres: number;
}

/** A fleet of `peers` children that exchange datagrams on a virtual clock. */
export interface FleetSimulation {
  readonly run: (durationMs: number) => void;
  /** Reports a leaving endpoint from one daemon on. */
  readonly reportLeaving: (index: number, endpoint: string) => void;
  readonly setLoad: (index: number, rows: readonly LoadRow[]) => void;
  readonly setTransfer: (index: number, source: string, priority: number) => void;
  /** Stops a daemon: it neither sends nor receives any more. */
  readonly stop: (index: number) => void;
  /** Ages at which the running daemons learnt of the leaving endpoint; null while one does not. */
  readonly getLeavingAges: (endpoint: string) => readonly (number | null)[];
  readonly sumLoad: (index: number, endpoint: string) => number;
  readonly isPreceded: (index: number, source: string, priority: number) => boolean;
  readonly getState: (index: number) => PeersState;
  readonly getTraffic: () => readonly Traffic[];
  readonly resetTraffic: () => void;
}

interface Scheduled {
  readonly at: number;
  readonly index: number;
  readonly event: PeersEvent;
}

const IN_DATA_CENTRE_MS = 1;
const BETWEEN_DATA_CENTRES_MS = 2;
const STEP_MS = 1;
const NO_TRAFFIC: Traffic = { sent: 0, bytes: 0, bytesBetweenDataCentres: 0 };

const toHost = (index: number): string =>
  `10.0.${(index >> 8).toString()}.${(index & 255).toString()}`;

const hash = (text: string): number => {
  let value = 7;
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 1_000_003;
  return value;
};

/**
 * Creates a simulated fleet, whose daemons know only the first of each three data centres' seeds.
 *
 * @param options - size of the fleet and loss of its network
 * @returns the simulation
 */
export const createFleetSimulation = ({
  daemons,
  dataCentres,
  lossShare,
  seed,
}: FleetOptions): FleetSimulation => {
  const clock = createVirtualClock(100_000);
  const random = createRandomSource(seed);
  const loads = new Map<number, readonly LoadRow[]>();
  const transfers = new Map<number, readonly (readonly [string, number])[]>();
  const leaving = new Map<number, Map<string, number>>();
  const reportedAt = new Map<string, number>();
  const stopped = new Set<number>();
  const due = new Map<number, Scheduled[]>();
  const traffic: Traffic[] = Array.from({ length: daemons }, () => NO_TRAFFIC);
  const toDataCentre = (index: number): string => `dc-${(index % dataCentres).toString()}`;
  const indexByHost = new Map(
    Array.from({ length: daemons }, (_, index) => [toHost(index), index] as const),
  );

  const schedule = (item: Scheduled): void => {
    const at = Math.ceil(item.at);
    const items = due.get(at);
    if (items === undefined) due.set(at, [item]);
    else items.push(item);
  };

  const logics = Array.from({ length: daemons }, (_, index) =>
    createPeersLogic({
      clock,
      random,
      self: {
        host: toHost(index),
        process: `gateway-${index.toString().padStart(4, '0')}`,
        dataCentre: toDataCentre(index),
      },
      hash,
      getSeeds: () => [0, 1, 2].map(toHost),
      listOwnLoad: () => loads.get(index) ?? [],
      listLeaving: (since) =>
        [...(leaving.get(index) ?? [])].filter(([, at]) => at >= since).map(([id]) => id),
      listOwnTransfers: () => transfers.get(index) ?? [],
      listLimits: () => [],
      buildCrashMessage: () => ({ crashes: [], survivals: [] }),
    }),
  );
  const states = logics.map((logic) => logic.init().state);

  const observeLeaving = (index: number, endpoint: string): void => {
    const known = leaving.get(index) ?? new Map<string, number>();
    if (known.has(endpoint)) return;
    known.set(endpoint, clock.now());
    leaving.set(index, known);
    post(index, { to: 'peers', kind: 'report-changed' });
  };

  const dispatch = (from: number, host: string, message: PeerMessage, bytes: number): void => {
    const to = indexByHost.get(host);
    if (to === undefined) return;
    const isLocal = toDataCentre(from) === toDataCentre(to);
    const before = traffic[from] ?? NO_TRAFFIC;
    traffic[from] = {
      sent: before.sent + 1,
      bytes: before.bytes + bytes,
      bytesBetweenDataCentres: before.bytesBetweenDataCentres + (isLocal ? 0 : bytes),
    };
    if (random.next() < lossShare) return;
    const at = clock.now() + (isLocal ? IN_DATA_CENTRE_MS : BETWEEN_DATA_CENTRES_MS);
    const event = {
      to: 'peers',
      kind: 'peer-report-received',
      host: toHost(from),
      message,
    } as const;
    schedule({ at, index: to, event });
  };

  const perform = (index: number, effect: GatewayEffect): void => {
    if (effect.kind === 'send-peers' && effect.hosts.length > 0) {
      const bytes = JSON.stringify(effect.message).length;
      for (const host of effect.hosts) dispatch(index, host, effect.message, bytes);
    }
    if (effect.kind === 'schedule' && effect.event.to === 'peers')
      schedule({ at: clock.now() + effect.delayMs, index, event: effect.event });
    if (effect.kind === 'post' && effect.event.kind === 'report-read')
      observeLeaving(index, effect.event.endpoint);
  };

  const post = (index: number, event: PeersEvent): void => {
    const logic = logics[index];
    const state = states[index];
    if (logic === undefined || state === undefined || stopped.has(index)) return;
    const step = logic.decide(state, event);
    states[index] = step.state;
    for (const effect of step.effects) perform(index, effect);
  };

  const getState = (index: number): PeersState => {
    const state = states[index];
    if (state === undefined) throw new Error(`daemon ${index.toString()} does not exist`);
    return state;
  };

  for (let index = 0; index < daemons; index += 1) {
    // The daemons start within 300 ms, so that their reports are not in step.
    const at = clock.now() + 1 + random.next() * 300;
    schedule({ at, index, event: { to: 'peers', kind: 'report-due' } });
  }

  return {
    run: (durationMs) => {
      for (const end = clock.now() + durationMs; clock.now() < end;) {
        clock.advance(STEP_MS);
        const items = due.get(clock.now()) ?? [];
        due.delete(clock.now());
        for (const { event, index } of items) post(index, event);
      }
    },
    reportLeaving: (index, endpoint) => {
      reportedAt.set(endpoint, clock.now());
      observeLeaving(index, endpoint);
    },
    setLoad: (index, rows) => {
      loads.set(index, rows);
    },
    setTransfer: (index, source, priority) => {
      transfers.set(index, [[source, priority]]);
      post(index, { to: 'peers', kind: 'report-changed' });
    },
    stop: (index) => {
      stopped.add(index);
    },
    getLeavingAges: (endpoint) =>
      states.flatMap((_, index) => {
        if (stopped.has(index)) return [];
        const learntAt = leaving.get(index)?.get(endpoint);
        return [learntAt === undefined ? null : learntAt - (reportedAt.get(endpoint) ?? 0)];
      }),
    sumLoad: (index, endpoint) => sumPeerLoad(getState(index), endpoint, clock.now()).requests,
    isPreceded: (index, source, priority) =>
      isPrecededByPeer(
        getState(index),
        { source, priority, process: `gateway-${index.toString().padStart(4, '0')}` },
        clock.now(),
      ),
    getState,
    getTraffic: () => traffic,
    resetTraffic: () => {
      traffic.fill(NO_TRAFFIC);
    },
  };
};
