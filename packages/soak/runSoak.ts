import { mkdirSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { applyFault, startSlot } from './applyFault.js';
import { createCaller } from './caller.js';
import { checkPromises } from './checkPromises.js';
import {
  CALLER_COUNT,
  CALL_TIMEOUT_MS,
  ENGINE_COUNT,
  GATEWAY_COUNT,
  IDLE_SHARE,
  LEDGER_COUNT,
  MIN_CALL_TIMEOUT_MS,
  MIN_SERVED_SHARE,
  MIN_STREAM_TIMEOUT_MS,
  PLANNED_CALLER_COUNT,
  PLANNED_CALL_TIMEOUT_MS,
  RECOVERY_DEADLINE_MS,
  RECOVERY_MS,
  STREAM_TIMEOUT_MS,
} from './constants.js';
import { createGatewayProcess } from './gatewayProcess.js';
import { startLinkProxy } from './linkProxy.js';
import { planSoak } from './planSoak.js';
import type { StartSoakPlatform } from './soakPlatform.js';
import type { Soak } from './soakState.js';
import type {
  CallKind,
  CallPace,
  Finding,
  OperatorLimits,
  SoakProfile,
  Termination,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import { createSystemClock } from '../core/clock.js';
import type { Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';
import { createSeededSource } from '../standins/common/seededSource.js';

/** Options of one soak. */
export interface SoakOptions {
  /** Seed of the faults and of the requests. */
  readonly seed: number;
  readonly profile: SoakProfile;
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

/** How callers behave beside the faults of a profile. */
interface CallerHabits {
  readonly callerCount: number;
  /** Kinds of requests, drawn with equal probability; a repeated kind is drawn more often. */
  readonly kinds: readonly CallKind[];
  /** Deadline of plain calls; that of streams is the same in all profiles. */
  readonly callTimeoutMs: Millis;
  /** Limits of the first configuration. */
  readonly limits: OperatorLimits;
  /** Shortest timeouts of the routes in all configurations. */
  readonly minCallTimeoutMs: Millis;
  readonly minStreamTimeoutMs: Millis;
  /** Share of the requests after which a caller leaves its connection idle. */
  readonly idleShare: number;
  /** Share of the requests that are slow. */
  readonly slowShare: number;
}

const CALM_LIMITS: OperatorLimits = {
  idleTimeoutMs: 15_000,
  headerTimeoutMs: 3_000,
  maxHeaderBytes: 16_384,
  maxBodyBytes: 100_000,
  callTimeoutMs: CALL_TIMEOUT_MS,
  streamTimeoutMs: STREAM_TIMEOUT_MS,
};

const HABITS: Readonly<Record<SoakProfile, CallerHabits>> = {
  faults: {
    callerCount: CALLER_COUNT,
    kinds: ['once', 'once', 'idempotent', 'generation', 'resumable'],
    callTimeoutMs: CALL_TIMEOUT_MS,
    limits: CALM_LIMITS,
    minCallTimeoutMs: CALL_TIMEOUT_MS,
    minStreamTimeoutMs: STREAM_TIMEOUT_MS,
    idleShare: 0,
    slowShare: 0,
  },
  planned: {
    callerCount: PLANNED_CALLER_COUNT,
    kinds: ['once', 'idempotent', 'generation', 'unframed', 'resumable'],
    callTimeoutMs: PLANNED_CALL_TIMEOUT_MS,
    limits: { ...CALM_LIMITS, callTimeoutMs: PLANNED_CALL_TIMEOUT_MS, idleTimeoutMs: 4_000 },
    minCallTimeoutMs: MIN_CALL_TIMEOUT_MS,
    minStreamTimeoutMs: MIN_STREAM_TIMEOUT_MS,
    idleShare: 0.15,
    slowShare: 0.25,
  },
};

/** Returns the deadline of a request, and the time after which its route may have ended it. */
const getTimeLimits = (
  kind: CallKind,
  habits: CallerHabits,
): { readonly deadlineMs: Millis; readonly timeLimitMs: Millis } => {
  switch (kind) {
    case 'once':
    case 'idempotent':
      return { deadlineMs: habits.callTimeoutMs, timeLimitMs: habits.minCallTimeoutMs };
    case 'generation':
    case 'unframed':
    case 'resumable':
      return { deadlineMs: STREAM_TIMEOUT_MS, timeLimitMs: habits.minStreamTimeoutMs };
    default:
      return assertNever(kind);
  }
};

/** Picks the pause after a request, in which the connection may stay idle. */
const pickPause = (
  { platform }: Soak,
  { idleShare }: CallerHabits,
  random: RandomSource,
): Millis =>
  idleShare > 0 && random.next() < idleShare
    ? random.next() * IDLE_SHARE * platform.getIdleTimeoutMs()
    : CALL_PAUSE_MS;

/** Picks the next gateway in rotation, or simply the next gateway when none is in rotation. */
const pickGateway = ({ gateways }: Soak, from: number): number => {
  const order = gateways.map((_, step) => (from + 1 + step) % GATEWAY_COUNT);
  return order.find((index) => gateways[index]?.isInRotation()) ?? (from + 1) % GATEWAY_COUNT;
};

/**
 * Sends requests until the soak is over. Switches to the next gateway after a failure, or when its
 * connection was closed and its gateway is out of rotation.
 */
const runCaller = async (
  soak: Soak,
  index: number,
  random: RandomSource,
  habits: CallerHabits,
): Promise<void> => {
  const { clock, gateways, hosts, platform } = soak;
  const caller = createCaller(platform);
  let gateway = index % GATEWAY_COUNT;
  for (let sequence = 0; soak.phase === 'running'; sequence += 1) {
    const keys = platform.listKeys();
    const callerKey = keys[index % keys.length];
    if (callerKey === undefined) break;
    const kind = habits.kinds[Math.floor(random.next() * habits.kinds.length)] ?? 'once';
    const pace: CallPace = random.next() < habits.slowShare ? 'slow' : 'quick';
    const id = `c${index.toString()}-${sequence.toString()}`;
    const body = `body of ${id}`;
    const { deadlineMs, timeLimitMs } = getTimeLimits(kind, habits);
    const incarnation = gateways[gateway]?.getIncarnation() ?? 0;
    const sentAt = clock.now();
    const target = { host: hosts[gateway] ?? '', port: platform.callerPort };
    const wireCall = platform.buildCall({
      id,
      kind,
      pace,
      key: callerKey.key,
      timeoutMs: deadlineMs,
    });
    const outcome = await caller.call(target, wireCall, body, deadlineMs);
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
      timeLimitMs,
      outcome,
    });
    await wait(pickPause(soak, habits, random));
    const isServed = outcome.kind === 'answered' && outcome.status === STATUS_OK;
    const isReachable = gateways[gateway]?.isInRotation() === true || caller.isConnected(target);
    if (!isServed || !isReachable) gateway = pickGateway(soak, gateway);
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
  const { directory, durationMs, profile, seed } = options;
  mkdirSync(directory, { recursive: true });
  const soak = await buildSoak(options);
  soak.platform.publishConfiguration(HABITS[profile].limits);
  await Promise.all(soak.workerLinks.map((_, slot) => startSlot(soak, slot)));
  for (const gateway of soak.gateways) gateway.start();
  await wait(STARTUP_MS);
  const callers = Array.from({ length: HABITS[profile].callerCount }, (_, index) =>
    runCaller(soak, index, createSeededSource(seed, `caller ${index.toString()}`), HABITS[profile]),
  );
  const plan = planSoak(seed, durationMs, profile);
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
  const observations = {
    ...soak,
    runs: soak.platform.listRuns(),
    brokenRuns: soak.platform.listBrokenRuns(),
  };
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
