import type { HolderRecord, LeaseAppend, LeaseSnapshot, UsageReport } from './types.js';
import { createUsageLogic } from './usage.js';
import type { UsageSettings, UsageState } from './usageState.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { FixedWindow, WindowNumber } from '../../decisions/usage/types.js';
import { createUsageTable } from '../../decisions/usage/usageTable.js';
import type { GatewayEffect } from '../effects.js';
import type { UsageEvent } from '../events.js';

export const SETTINGS: UsageSettings = { leaseMs: 3_000, windowMs: 5_000, dueMs: 10_000 };

/** Time within which a call of a daemon that had stood still does not count. */
export const THAW_SLACK_MS = 300;

const WALL_START = 1_800_000_000_000;
const STEP_MS = 50;
const DELIVERY_MS = 10;

/** Report as the service received it. */
export interface ReceivedReport extends UsageReport {
  readonly at: Millis;
  /** Whether its sender had just stood still, so that the call does not count. */
  readonly sender: 'running' | 'thawed';
}

/** Number of a daemon, or the one that holds the lease. */
export type FaultyDaemon = number | 'holder';

/** What happens to one daemon or to the log; times are in steps of the simulation. */
export type FleetFault =
  | { readonly kind: 'freeze'; readonly daemon: FaultyDaemon; readonly steps: number }
  /** As a freeze, but the steady clock does not count the time. */
  | { readonly kind: 'suspend'; readonly daemon: FaultyDaemon; readonly steps: number }
  | { readonly kind: 'restart'; readonly daemon: FaultyDaemon }
  | { readonly kind: 'drain'; readonly daemon: FaultyDaemon }
  | { readonly kind: 'cut'; readonly daemon: FaultyDaemon; readonly steps: number }
  /** Appends take effect, some of them late, and are not answered. */
  | { readonly kind: 'lose-answers'; readonly steps: number; readonly lateSteps: number }
  | { readonly kind: 'outage'; readonly steps: number }
  /** The log takes effect at once, and its answers come late. */
  | { readonly kind: 'slow-log'; readonly steps: number; readonly delaySteps: number }
  | { readonly kind: 'step-wall'; readonly daemon: FaultyDaemon; readonly byMs: Millis }
  | { readonly kind: 'silence-service'; readonly steps: number };

interface SimulatedDaemon {
  readonly host: string;
  state: UsageState;
  logic: ReturnType<typeof createUsageLogic>;
  queue: { readonly dueAt: Millis; readonly event: UsageEvent }[];
  frozenUntil: Millis;
  thawedAt: Millis;
  cutUntil: Millis;
  steadyLostMs: Millis;
  wallOffsetMs: Millis;
  phase: 'serving' | 'draining';
  /** Rises with each restart; answers to an earlier process are dropped. */
  life: number;
}

interface PendingAppend {
  readonly append: LeaseAppend;
  readonly landsAt: Millis;
}

/**
 * Simulates daemons that report usage, with a log, a service and their faults. The daemons run the
 * decision logic of the product.
 *
 * @param size - number of daemons
 * @param settings - windows and lease
 * @returns the fleet
 */
export const createUsageFleet = (size: number, settings = SETTINGS) => {
  let now: Millis = 0;
  let offset = 0;
  let holder: HolderRecord | null = null;
  let answersLostUntil = 0;
  let lateMs: Millis = 0;
  let outageUntil = 0;
  let slowUntil = 0;
  let slowMs: Millis = 0;
  let serviceSilentUntil = 0;
  let lives = 0;
  const windows = new Map<WindowNumber, FixedWindow>();
  const late: PendingAppend[] = [];
  const reports: ReceivedReport[] = [];
  const daemons: SimulatedDaemon[] = [];
  const hosts = Array.from({ length: size }, (_, index) => `10.0.0.${index.toString()}`);

  const startLogic = (daemon: SimulatedDaemon): void => {
    lives += 1;
    daemon.life += 1;
    const incarnation = `life-${lives.toString()}`;
    daemon.logic = createUsageLogic({
      clock: { now: () => now - daemon.steadyLostMs },
      wallClock: { now: () => WALL_START + now + daemon.wallOffsetMs },
      self: { process: daemon.host, host: daemon.host },
      settings,
      createIncarnation: () => incarnation,
      listHosts: () => hosts.filter((host) => host !== daemon.host),
      chooseCandidates: (known) => [...known].sort().slice(0, 3),
      getPhase: () => daemon.phase,
      table: createUsageTable(),
      fixed: new Map(),
    });
    daemon.queue = [];
    daemon.phase = 'serving';
    const started = daemon.logic.init();
    daemon.state = started.state;
    perform(daemon, started.effects);
  };

  const getSnapshot = (): LeaseSnapshot => ({
    position: { epoch: null, offset },
    holder,
    windows: [...windows.values()],
  });

  const land = ({ after, dropped, fixed, holder: next }: LeaseAppend): boolean => {
    if (after.offset !== offset) return false;
    offset += 1 + (fixed === null ? 0 : 1) + (dropped === null ? 0 : 1);
    holder = next;
    if (fixed !== null) windows.set(fixed.window, fixed);
    if (dropped !== null) windows.delete(dropped);
    return true;
  };

  const callAppend = (append: LeaseAppend): UsageEvent => {
    if (now < answersLostUntil) {
      if (lateMs > 0) late.push({ append, landsAt: now + lateMs });
      else land(append);
      return { to: 'usage', kind: 'lease-appended', result: { kind: 'unknown', message: 'lost' } };
    }
    const result = land(append)
      ? ({ kind: 'appended', position: { epoch: null, offset } } as const)
      : ({ kind: 'conflict' } as const);
    return { to: 'usage', kind: 'lease-appended', result };
  };

  const callReport = (daemon: SimulatedDaemon, report: UsageReport): UsageEvent => {
    const { window } = report;
    const isThawed = now - daemon.thawedAt <= THAW_SLACK_MS;
    reports.push({ ...report, at: now, sender: isThawed ? 'thawed' : 'running' });
    const result =
      now < serviceSilentUntil
        ? ({ kind: 'unknown', message: 'silent' } as const)
        : ({ kind: 'accepted' } as const);
    return { to: 'usage', kind: 'usage-report-ended', window, result };
  };

  const isStoreAway = (daemon: SimulatedDaemon): boolean =>
    now < outageUntil || now < daemon.cutUntil;

  const answer = (daemon: SimulatedDaemon, effect: GatewayEffect): UsageEvent | null => {
    switch (effect.kind) {
      case 'load-lease':
        return {
          to: 'usage',
          kind: 'lease-loaded',
          result: isStoreAway(daemon)
            ? { kind: 'failed', message: 'away' }
            : { kind: 'loaded', snapshot: getSnapshot() },
        };
      case 'append-lease':
        return isStoreAway(daemon)
          ? { to: 'usage', kind: 'lease-appended', result: { kind: 'unknown', message: 'away' } }
          : callAppend(effect.append);
      case 'report-usage':
        return callReport(daemon, effect.report);
      default:
        return null;
    }
  };

  const perform = (daemon: SimulatedDaemon, effects: readonly GatewayEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'schedule' && effect.event.to === 'usage') {
        daemon.queue.push({ dueAt: now + effect.delayMs, event: effect.event });
      } else if (effect.kind === 'send-usage') {
        for (const other of daemons) {
          if (!effect.hosts.includes(other.host)) continue;
          const { message } = effect;
          const event = {
            to: 'usage',
            kind: 'usage-received',
            host: daemon.host,
            message,
          } as const;
          other.queue.push({ dueAt: now + DELIVERY_MS, event });
        }
      } else {
        const event = answer(daemon, effect);
        const isSlow = now < slowUntil && effect.kind !== 'report-usage';
        const delayMs = isSlow ? slowMs : DELIVERY_MS;
        if (event !== null) daemon.queue.push({ dueAt: now + delayMs, event });
      }
    }
  };

  const runDaemon = (daemon: SimulatedDaemon): void => {
    if (now < daemon.frozenUntil) return;
    const due = daemon.queue.filter(({ dueAt }) => dueAt <= now);
    daemon.queue = daemon.queue.filter(({ dueAt }) => dueAt > now);
    const { life } = daemon;
    for (const { event } of due) {
      if (daemon.life !== life) return;
      const step = daemon.logic.decide(daemon.state, event);
      daemon.state = step.state;
      perform(daemon, step.effects);
    }
  };

  const halt = (daemon: SimulatedDaemon, steps: number): void => {
    daemon.frozenUntil = now + steps * STEP_MS;
    daemon.thawedAt = daemon.frozenUntil;
  };

  const findDaemon = (faulty: FaultyDaemon): SimulatedDaemon | undefined =>
    faulty === 'holder'
      ? daemons.find(({ host }) => host === holder?.holder)
      : daemons[faulty % size];

  const applyFault = (fault: FleetFault): void => {
    const daemon = 'daemon' in fault ? findDaemon(fault.daemon) : undefined;
    switch (fault.kind) {
      case 'freeze':
        if (daemon !== undefined) halt(daemon, fault.steps);
        return;
      case 'suspend':
        if (daemon === undefined) return;
        halt(daemon, fault.steps);
        daemon.steadyLostMs += fault.steps * STEP_MS;
        return;
      case 'restart':
        if (daemon !== undefined) startLogic(daemon);
        return;
      case 'drain':
        if (daemon !== undefined) daemon.phase = 'draining';
        return;
      case 'cut':
        if (daemon !== undefined) daemon.cutUntil = now + fault.steps * STEP_MS;
        return;
      case 'lose-answers':
        answersLostUntil = now + fault.steps * STEP_MS;
        lateMs = fault.lateSteps * STEP_MS;
        return;
      case 'outage':
        outageUntil = now + fault.steps * STEP_MS;
        return;
      case 'slow-log':
        slowUntil = now + fault.steps * STEP_MS;
        slowMs = fault.delaySteps * STEP_MS;
        return;
      case 'step-wall':
        if (daemon !== undefined) daemon.wallOffsetMs += fault.byMs;
        return;
      case 'silence-service':
        serviceSilentUntil = now + fault.steps * STEP_MS;
        return;
      default:
        assertNever(fault);
    }
  };

  /** Runs all daemons for a number of steps. */
  const run = (steps: number): void => {
    for (let step = 0; step < steps; step += 1) {
      now += STEP_MS;
      for (const pending of late.filter(({ landsAt }) => landsAt <= now)) {
        late.splice(late.indexOf(pending), 1);
        land(pending.append);
      }
      for (const daemon of daemons) runDaemon(daemon);
    }
  };

  const countRequest = (index: number, customer: string): void => {
    daemons[index % size]?.queue.push({
      dueAt: now,
      event: { to: 'usage', kind: 'run-began', customer },
    });
  };

  for (const host of hosts) {
    const daemon: SimulatedDaemon = {
      host,
      state: undefined as unknown as UsageState,
      logic: undefined as unknown as ReturnType<typeof createUsageLogic>,
      queue: [],
      frozenUntil: 0,
      thawedAt: -Infinity,
      cutUntil: 0,
      steadyLostMs: 0,
      wallOffsetMs: 0,
      phase: 'serving',
      life: 0,
    };
    daemons.push(daemon);
    startLogic(daemon);
  }

  return {
    run,
    applyFault,
    countRequest,
    getReports: (): readonly ReceivedReport[] => reports,
    findWindowAt: (): WindowNumber => Math.floor((WALL_START + now) / settings.windowMs),
    getHolder: () => holder?.holder ?? null,
  };
};

const toText = ({ counts }: ReceivedReport): string => JSON.stringify([...counts].sort());

/**
 * Finds the first broken promise about one holder at a time.
 *
 * @param all - reports in the order of their arrival
 * @returns its description; null when all hold
 */
export const findBrokenPromise = (all: readonly ReceivedReport[]): string | null => {
  const bodies = new Map<WindowNumber, string>();
  const holders = new Map<number, string>();
  for (const report of all) {
    const text = toText(report);
    if ((bodies.get(report.window) ?? text) !== text) return 'two counts for one window';
    bodies.set(report.window, text);
    if ((holders.get(report.term) ?? report.holder) !== report.holder)
      return 'two holders with one term';
    holders.set(report.term, report.holder);
  }
  const counted = all.filter(({ sender }) => sender === 'running');
  for (const [index, report] of counted.entries()) {
    const earlier = counted.slice(0, index);
    if (earlier.some(({ term }) => term > report.term)) return 'a lower term after a higher one';
    const recent = earlier.filter(({ at }) => report.at - at < SETTINGS.leaseMs);
    const other = recent.findLastIndex(({ holder }) => holder !== report.holder);
    if (recent.slice(0, Math.max(0, other)).some(({ holder }) => holder === report.holder))
      return 'two holders to and fro within a lease';
  }
  return null;
};
