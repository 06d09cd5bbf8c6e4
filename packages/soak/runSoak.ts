import { mkdirSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { createCaller } from './caller.js';
import { checkPromises } from './checkPromises.js';
import {
  CALLER_COUNT,
  CALL_TIMEOUT_MS,
  ENGINE_COUNT,
  GATEWAY_COUNT,
  LEDGER_COUNT,
  MIN_SERVED_SHARE,
  RECOVERY_DEADLINE_MS,
  RECOVERY_MS,
  STREAM_TIMEOUT_MS,
} from './constants.js';
import { createGatewayProcess } from './gatewayProcess.js';
import type { GatewayProcess } from './gatewayProcess.js';
import { startLinkProxy } from './linkProxy.js';
import type { LinkProxy } from './linkProxy.js';
import { planSoak } from './planSoak.js';
import type { SoakPlatform, SoakWorker, StartSoakPlatform } from './soakPlatform.js';
import type {
  CallKind,
  CallRecord,
  Disruption,
  Finding,
  LinkId,
  PublishedChange,
  SoakFault,
  Termination,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import { createSystemClock } from '../core/clock.js';
import type { Clock, Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';
import { createSeededSource } from '../standins/common/seededSource.js';

/** Options of one soak. */
export interface SoakOptions {
  /** Seed of the faults and of the requests. */
  readonly seed: number;
  /** Time in which faults begin. */
  readonly durationMs: Millis;
  /** Directory of the settings files and logs; created if missing. */
  readonly directory: string;
  /** Loopback network, such as `127.80.1`; soaks that run in parallel need one each. */
  readonly network: string;
  readonly startPlatform: StartSoakPlatform;
}

/** Result of one soak. */
export interface SoakReport {
  readonly findings: readonly Finding[];
  /** Number of injected faults and planned changes. */
  readonly faults: number;
  /** Number of requests sent. */
  readonly calls: number;
  /** Number of requests that were answered with status 200. */
  readonly served: number;
}

const STATUS_OK = 200;

/** Time from the start of the processes until the traffic begins, in ms. */
const STARTUP_MS = 1_500;

/** Pause of a caller between two requests, in ms. */
const CALL_PAUSE_MS = 15;

/** Time for which a draining worker continues to serve, in ms. */
const WORKER_DRAIN_MS = 2_600;

/** Kinds of requests, drawn with equal probability; a repeated kind is drawn more often. */
const CALL_KINDS: readonly CallKind[] = ['once', 'once', 'idempotent', 'generation', 'resumable'];

/** State and resources of a running soak. */
interface Soak {
  readonly clock: Clock;
  readonly platform: SoakPlatform;
  readonly gateways: readonly GatewayProcess[];
  readonly hosts: readonly string[];
  readonly storeLinks: readonly LinkProxy[];
  readonly workerLinks: readonly LinkProxy[];
  readonly workers: (SoakWorker | null)[];
  readonly calls: CallRecord[];
  readonly changes: PublishedChange[];
  readonly terminations: Termination[];
  readonly disruptions: Disruption[];
  readonly findings: Finding[];
  readonly startedAt: Millis;
  phase: 'running' | 'over';
}

const findLink = ({ storeLinks, workerLinks }: Soak, link: LinkId): LinkProxy | undefined => {
  switch (link.kind) {
    case 'store':
      return storeLinks[link.gateway];
    case 'worker':
      return workerLinks[link.slot];
    default:
      return assertNever(link);
  }
};

const startSlot = async (soak: Soak, slot: number): Promise<void> => {
  if (soak.phase === 'over') return;
  const link = soak.workerLinks[slot];
  const worker = await soak.platform.startWorker(slot);
  soak.workers[slot] = worker;
  link?.setTarget(worker.address);
  if (link !== undefined) worker.register(link.address);
};

const drainSlot = async (
  soak: Soak,
  { durationMs, notice, slot }: Extract<SoakFault, { kind: 'worker-leave' }>,
): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  if (worker === null) return;
  soak.workers[slot] = null;
  worker.leave(notice);
  soak.changes.push({ kind: 'worker-leaving', workerId: worker.id, at: soak.clock.now() });
  await wait(WORKER_DRAIN_MS);
  worker.close();
  await wait(durationMs);
  await startSlot(soak, slot);
};

const failSlot = async (soak: Soak, slot: number, durationMs: Millis): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  if (worker === null) return;
  soak.workers[slot] = null;
  worker.crash();
  await wait(durationMs);
  await startSlot(soak, slot);
};

/**
 * Reports whether time limits are suspended while the fault lasts. They stay in force during
 * planned changes.
 */
const isDisruptive = ({ kind }: SoakFault): boolean => {
  switch (kind) {
    case 'kill':
    case 'pause':
    case 'terminate':
    case 'link':
    case 'store':
    case 'compact-store':
    case 'worker-crash':
      return true;
    case 'reload':
    case 'worker-leave':
    case 'configure':
    case 'revoke-key':
    case 'data-centre-out':
      return false;
    default:
      return assertNever(kind);
  }
};

const takeDataCentreOut = async (
  soak: Soak,
  dataCentre: number,
  durationMs: Millis,
): Promise<void> => {
  const name = soak.platform.setDataCentreState(dataCentre, 'out');
  const at = soak.clock.now();
  await wait(durationMs);
  soak.changes.push({
    kind: 'data-centre-out',
    dataCentre: name,
    at,
    until: soak.clock.now(),
  });
  soak.platform.setDataCentreState(dataCentre, 'in');
};

const performFault = async (soak: Soak, fault: SoakFault): Promise<void> => {
  const { gateways, platform } = soak;
  switch (fault.kind) {
    case 'kill':
      gateways[fault.gateway]?.kill();
      await wait(fault.durationMs);
      gateways[fault.gateway]?.start();
      return;
    case 'pause':
      gateways[fault.gateway]?.pause();
      await wait(fault.durationMs);
      gateways[fault.gateway]?.resume();
      return;
    case 'terminate':
      gateways[fault.gateway]?.terminate();
      return;
    case 'reload':
      gateways[fault.gateway]?.reload();
      return;
    case 'link': {
      const link = findLink(soak, fault.link);
      link?.setMode(fault.mode);
      await wait(fault.durationMs);
      link?.setMode('pass');
      return;
    }
    case 'store':
      platform.setStoreFault(fault.mode);
      await wait(fault.durationMs);
      platform.setStoreFault('none');
      return;
    case 'compact-store':
      platform.compactStore();
      return;
    case 'worker-crash':
      await failSlot(soak, fault.slot, fault.durationMs);
      return;
    case 'worker-leave':
      await drainSlot(soak, fault);
      return;
    case 'configure':
      platform.publishConfiguration();
      return;
    case 'revoke-key': {
      const key = platform.revokeKey();
      if (key !== null) soak.changes.push({ kind: 'key-revoked', key, at: soak.clock.now() });
      return;
    }
    case 'data-centre-out':
      await takeDataCentreOut(soak, fault.dataCentre, fault.durationMs);
      return;
    default:
      assertNever(fault);
  }
};

const applyFault = async (soak: Soak, fault: SoakFault): Promise<void> => {
  const from = soak.clock.now();
  // The end is unknown until the fault has been undone.
  const disruption = { from, until: Infinity };
  if (isDisruptive(fault)) soak.disruptions.push(disruption);
  await performFault(soak, fault);
  disruption.until = soak.clock.now();
};

const getTimeout = (kind: CallKind): Millis => {
  switch (kind) {
    case 'once':
    case 'idempotent':
      return CALL_TIMEOUT_MS;
    case 'generation':
    case 'resumable':
      return STREAM_TIMEOUT_MS;
    default:
      return assertNever(kind);
  }
};

/** Picks the next gateway in rotation, or simply the next gateway when none is in rotation. */
const pickGateway = ({ gateways }: Soak, from: number): number => {
  const order = gateways.map((_, step) => (from + 1 + step) % GATEWAY_COUNT);
  return order.find((index) => gateways[index]?.isInRotation()) ?? (from + 1) % GATEWAY_COUNT;
};

/** Sends requests until the soak is over, and switches to the next gateway after a failure. */
const runCaller = async (soak: Soak, index: number, random: RandomSource): Promise<void> => {
  const { clock, gateways, hosts, platform } = soak;
  const caller = createCaller(platform);
  let gateway = index % GATEWAY_COUNT;
  for (let sequence = 0; soak.phase === 'running'; sequence += 1) {
    const keys = platform.listKeys();
    const callerKey = keys[index % keys.length];
    if (callerKey === undefined) break;
    const kind = CALL_KINDS[Math.floor(random.next() * CALL_KINDS.length)] ?? 'once';
    const id = `c${index.toString()}-${sequence.toString()}`;
    const body = `body of ${id}`;
    const timeoutMs = getTimeout(kind);
    const incarnation = gateways[gateway]?.getIncarnation() ?? 0;
    const sentAt = clock.now();
    const target = { host: hosts[gateway] ?? '', port: platform.callerPort };
    const wireCall = platform.buildCall({ id, kind, key: callerKey.key, timeoutMs });
    const outcome = await caller.call(target, wireCall, body, timeoutMs);
    const { customer, key } = callerKey;
    const endedAt = clock.now();
    soak.calls.push({
      id,
      kind,
      gateway,
      incarnation,
      key,
      customer,
      body,
      sentAt,
      endedAt,
      outcome,
    });
    const isServed = outcome.kind === 'answered' && outcome.status === STATUS_OK;
    if (!isServed || gateways[gateway]?.isInRotation() !== true) {
      gateway = pickGateway(soak, gateway);
    }
    await wait(CALL_PAUSE_MS);
  }
  caller.close();
};

const checkRecovery = ({ calls, clock }: Soak): readonly Finding[] => {
  const since = clock.now() - (RECOVERY_MS - RECOVERY_DEADLINE_MS);
  const recentCalls = calls.filter(({ sentAt }) => sentAt >= since);
  // Look-ups may fail at a worker by design, so any answer signed by a worker counts as served.
  const served = recentCalls.filter(
    ({ outcome }) =>
      outcome.kind === 'answered' && (outcome.signature !== null || outcome.status === STATUS_OK),
  );
  if (recentCalls.length > 0 && served.length >= recentCalls.length * MIN_SERVED_SHARE) return [];
  const detail = `${served.length.toString()} of ${recentCalls.length.toString()} requests were served after the last fault`;
  return [{ promise: 'recovery', detail }];
};

const buildSoak = async (options: SoakOptions): Promise<Soak> => {
  const { directory, network, startPlatform } = options;
  const clock = createSystemClock();
  const ownHost = `${network}.1`;
  const platform = await startPlatform(ownHost, clock);
  const hosts = Array.from(
    { length: GATEWAY_COUNT },
    (_, index) => `${network}.${(index + 11).toString()}`,
  );
  const storeLinks = await Promise.all(
    hosts.map(() => startLinkProxy(platform.storeAddress, ownHost)),
  );
  const workerLinks = await Promise.all(
    Array.from({ length: ENGINE_COUNT + LEDGER_COUNT }, () =>
      startLinkProxy(platform.storeAddress, ownHost),
    ),
  );
  const findings: Finding[] = [];
  const terminations: Termination[] = [];
  const gateways = hosts.map((host, index) =>
    createGatewayProcess({
      index,
      platform,
      spec: {
        name: `gateway-${index.toString()}`,
        host,
        dataCentre: `dc-${index.toString()}`,
        seeds: hosts,
        store: storeLinks[index]?.address ?? platform.storeAddress,
      },
      directory,
      clock,
      onFinding: (finding) => {
        findings.push(finding);
      },
      onTermination: (termination) => {
        terminations.push(termination);
      },
    }),
  );
  return {
    clock,
    platform,
    gateways,
    hosts,
    storeLinks,
    workerLinks,
    workers: workerLinks.map(() => null),
    calls: [],
    changes: [],
    terminations,
    disruptions: [],
    findings,
    startedAt: clock.now(),
    phase: 'running',
  };
};

const closeSoak = async (soak: Soak): Promise<void> => {
  await Promise.all(soak.gateways.map((gateway) => gateway.end()));
  for (const worker of soak.workers) worker?.close();
  for (const link of [...soak.storeLinks, ...soak.workerLinks]) link.close();
  soak.platform.close();
};

/**
 * Runs gateways as separate processes against stand-ins of everything they depend on, and injects
 * the faults of a seed from outside.
 *
 * @param options - seed, duration and stand-ins
 * @returns the violations that were found, and counts of faults and requests
 */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const { directory, durationMs, seed } = options;
  mkdirSync(directory, { recursive: true });
  const soak = await buildSoak(options);
  await Promise.all(soak.workerLinks.map((_, slot) => startSlot(soak, slot)));
  for (const gateway of soak.gateways) gateway.start();
  await wait(STARTUP_MS);
  const callers = Array.from({ length: CALLER_COUNT }, (_, index) =>
    runCaller(soak, index, createSeededSource(seed, `caller ${index.toString()}`)),
  );
  const plan = planSoak(seed, durationMs);
  const faults = plan.map(async ({ at, fault }) => {
    await wait(at);
    await applyFault(soak, fault);
  });
  await Promise.all(faults);
  // Terminations that began last may still be in progress.
  await Promise.all(soak.gateways.map((gateway) => gateway.waitUntilRunning()));
  await wait(RECOVERY_MS);
  const recoveryFindings = checkRecovery(soak);
  soak.phase = 'over';
  await Promise.all(callers);
  await closeSoak(soak);
  const observations = { ...soak, runs: soak.platform.listRuns() };
  const promiseFindings = checkPromises(observations, soak.platform.answers);
  return {
    findings: [...soak.findings, ...recoveryFindings, ...promiseFindings],
    faults: plan.length,
    calls: soak.calls.length,
    served: soak.calls.filter(
      ({ outcome }) => outcome.kind === 'answered' && outcome.status === STATUS_OK,
    ).length,
  };
};
