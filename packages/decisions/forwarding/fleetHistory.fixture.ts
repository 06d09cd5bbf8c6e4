import fc from 'fast-check';
import { estimateFleetSize } from './fleetShare.js';
import type { FleetKnowledge } from './fleetShare.js';
import { countRequest, createBudgetWindow } from './budgetWindow.js';
import type { BudgetWindow, RetryBudgetSettings } from './budgetWindow.js';
import { takeRetry } from './retryBudget.js';
import { assertNever } from '../../core/assertNever.js';

/** What befalls a simulated fleet; daemons are named by their index. */
export type FleetFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'restart'; readonly daemon: number }
  | { readonly kind: 'restart-all' }
  | { readonly kind: 'pause'; readonly daemon: number; readonly ticks: number }
  /** The daemons below the index do not reach those from it on. */
  | { readonly kind: 'partition'; readonly from: number; readonly ticks: number };

/** A phase of a history: traffic, the share of requests that need a retry, and a fault at its end. */
export interface FleetPhase {
  readonly ticks: number;
  /** Requests of each daemon in a tick. */
  readonly requests: readonly number[];
  readonly failingShare: number;
  /** Number of times that a failing request is sent again, as a stream that breaks again and again. */
  readonly repeats?: number;
  readonly fault: FleetFault;
}

/** Requests and retries of the whole fleet, in each tick. */
export interface FleetHistory {
  readonly requests: readonly number[];
  readonly retries: readonly number[];
}

/** How much a daemon of the simulation knows when it decides. */
export type KnowledgeRule = (known: FleetKnowledge) => FleetKnowledge;

/** Daemons that the settings of all name; the platform names three at most. */
const SEEDS = [0, 2, 4];

export const TICK_MS = 100;
export const FLEET_SIZE = 6;
export const FLEET_BUDGET: RetryBudgetSettings = { ratio: 0.2, slack: 58, windowMs: 10_000 };

interface SimulatedDaemon {
  window: BudgetWindow;
  members: Set<number>;
  /** Daemons to which it sends reports, beside the seeds. */
  contacts: Set<number>;
  reportedSize: number;
  pausedUntil: number;
  /** Requests that arrived during a pause; the daemon handles them all when it goes on. */
  backlog: number;
}

const startDaemon = (now: number): SimulatedDaemon => ({
  window: createBudgetWindow(now),
  members: new Set(),
  contacts: new Set(),
  reportedSize: 1,
  pausedUntil: 0,
  backlog: 0,
});

const sendReports = (
  daemons: readonly SimulatedDaemon[],
  partitionFrom: number,
  tick: number,
): void => {
  const isRunning = ({ pausedUntil }: SimulatedDaemon): boolean => tick >= pausedUntil;
  daemons.forEach((receiver, to) => {
    daemons.forEach((sender, from) => {
      const isConnected = to < partitionFrom === from < partitionFrom;
      if (to === from || !isConnected || !isRunning(sender) || !isRunning(receiver)) return;
      if (!SEEDS.includes(to) && !sender.contacts.has(to)) return;
      receiver.members.add(from);
      for (const contact of [from, ...sender.members]) receiver.contacts.add(contact);
      receiver.reportedSize = Math.max(receiver.reportedSize, sender.members.size + 1);
    });
  });
};

/**
 * Plays a history on a fleet whose daemons decide on retries by themselves.
 *
 * @param phases - phases of the history
 * @param limitKnowledge - what a daemon makes of its knowledge
 * @returns the requests and retries of all daemons together
 */
export const runFleet = (
  phases: readonly FleetPhase[],
  limitKnowledge: KnowledgeRule = (known) => known,
): FleetHistory => {
  const daemons = Array.from({ length: FLEET_SIZE }, () => startDaemon(-60_000));
  const requests: number[] = [];
  const retries: number[] = [];
  let partition = { from: 0, until: 0 };
  let tick = 0;

  const serve = (
    daemon: SimulatedDaemon,
    arrived: number,
    { failingShare, repeats = 1 }: FleetPhase,
  ): number => {
    const now = tick * TICK_MS;
    const { members, reportedSize } = daemon;
    const self = daemons.indexOf(daemon);
    const unheardSeeds = SEEDS.filter((seed) => seed !== self && !members.has(seed)).length;
    const size = estimateFleetSize({ daemons: members.size + 1, reportedSize, unheardSeeds });
    const contact = members.size === 0 ? 'unknown' : 'known';
    const fleet = limitKnowledge({ daemons: size, contact });
    let taken = 0;
    for (let request = 0; request < arrived; request += 1) {
      countRequest(daemon.window, FLEET_BUDGET, now);
      if ((request + 0.5) / arrived >= failingShare) continue;
      for (let repeat = 0; repeat < repeats; repeat += 1) {
        if (takeRetry(daemon.window, FLEET_BUDGET, fleet, now).charge !== null) taken += 1;
      }
    }
    return taken;
  };

  const applyFault = (fault: FleetFault): void => {
    switch (fault.kind) {
      case 'none':
        return;
      case 'restart':
        daemons[fault.daemon] = startDaemon(tick * TICK_MS);
        return;
      case 'restart-all':
        for (const index of daemons.keys()) daemons[index] = startDaemon(tick * TICK_MS);
        return;
      case 'pause':
        (daemons[fault.daemon] as SimulatedDaemon).pausedUntil = tick + fault.ticks;
        return;
      case 'partition':
        partition = { from: fault.from, until: tick + fault.ticks };
        return;
      default:
        assertNever(fault);
    }
  };

  for (const phase of phases) {
    for (let step = 0; step < phase.ticks; step += 1) {
      sendReports(daemons, tick < partition.until ? partition.from : 0, tick);
      let arrivedNow = 0;
      let retriesNow = 0;
      daemons.forEach((daemon, index) => {
        const arrived = phase.requests[index] ?? 0;
        arrivedNow += arrived;
        daemon.backlog += arrived;
        if (tick < daemon.pausedUntil) return;
        retriesNow += serve(daemon, daemon.backlog, phase);
        daemon.backlog = 0;
      });
      requests.push(arrivedNow);
      retries.push(retriesNow);
      tick += 1;
    }
    applyFault(phase.fault);
  }
  return { requests, retries };
};

/**
 * Computes by how many retries a history exceeds the budget of the fleet in its worst window. The
 * requests are those of the window, of the one before it or of the one half a window before it.
 *
 * @param history - requests and retries in each tick
 * @returns the excess; 0 or less when every window is within the budget
 */
export const computeExcess = ({ requests, retries }: FleetHistory): number => {
  const { ratio, slack, windowMs } = FLEET_BUDGET;
  const span = windowMs / TICK_MS;
  const sum = (counts: readonly number[], from: number): number =>
    counts.slice(Math.max(0, from), Math.max(0, from + span)).reduce((all, each) => all + each, 0);
  return Math.max(
    ...retries.map((_, from) => {
      const counted = [from, from - span / 2, from - span].map((start) => sum(requests, start));
      return sum(retries, from) - ratio * Math.max(...counted) - slack;
    }),
  );
};

const daemonIndex = fc.nat(FLEET_SIZE - 1);

const restartOne: fc.Arbitrary<FleetFault> = fc.record({
  kind: fc.constant('restart' as const),
  daemon: daemonIndex,
});

const restartAll: fc.Arbitrary<FleetFault> = fc.constant({ kind: 'restart-all' });

const pauseOne: fc.Arbitrary<FleetFault> = fc.record({
  kind: fc.constant('pause' as const),
  daemon: daemonIndex,
  ticks: fc.integer({ min: 5, max: 80 }),
});

const splitFleet: fc.Arbitrary<FleetFault> = fc.record({
  kind: fc.constant('partition' as const),
  from: daemonIndex,
  ticks: fc.integer({ min: 20, max: 300 }),
});

const noFault: fc.Arbitrary<FleetFault> = fc.constant({ kind: 'none' });

const PHASE = {
  ticks: fc.integer({ min: 1, max: 40 }),
  requests: fc.array(fc.nat(6), { minLength: FLEET_SIZE, maxLength: FLEET_SIZE }),
  failingShare: fc.constantFrom(0, 0.3, 1),
  fault: fc.oneof(restartOne, restartAll, pauseOne, splitFleet),
};

/** Histories with restarts, pauses and partitions in series, beside services that fail. */
export const fleetPhases: fc.Arbitrary<readonly FleetPhase[]> = fc.array(fc.record(PHASE), {
  minLength: 4,
  maxLength: 24,
});

const buildEqual = (requests: number): readonly number[] =>
  Array.from({ length: FLEET_SIZE }, () => requests);

/**
 * The same with few requests, of which some are sent again many times, as long streams are, and with
 * lives that last for most of a window. The slack is then most of the budget; with many requests the
 * unused share of the ratio hides what exceeds it.
 */
export const streamPhases: fc.Arbitrary<readonly FleetPhase[]> = fc.array(
  fc.record({
    ...PHASE,
    ticks: fc.oneof(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 30, max: 100 })),
    requests: fc.oneof(
      fc.constantFrom(buildEqual(0), buildEqual(1)),
      fc.array(fc.nat(1), { minLength: FLEET_SIZE, maxLength: FLEET_SIZE }),
    ),
    failingShare: fc.constantFrom(0, 1),
    repeats: fc.integer({ min: 1, max: 20 }),
    fault: fc.oneof(noFault, noFault, restartOne, restartAll, restartAll, pauseOne, splitFleet),
  }),
  { minLength: 4, maxLength: 24 },
);
