import { mkdirSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { applyFault, startSlot } from './applyFault.js';
import { checkPromises } from './checkPromises.js';
import { checkRecovery, checkServingAtOnce, waitForRecovery } from './checkRecovery.js';
import {
  ENGINE_COUNT,
  FIRST_STATING_SEED,
  GATEWAY_COUNT,
  LEDGER_COUNT,
  PIPELINING_CALLER_COUNT,
} from './constants.js';
import { createGatewayProcess } from './gatewayProcess.js';
import { startLinkProxy } from './linkProxy.js';
import { planSoak } from './planSoak.js';
import { HABITS, runCaller, runPipeliningCaller } from './runCallers.js';
import type { StartSoakPlatform } from './soakPlatform.js';
import type { Soak } from './soakState.js';
import type { Finding, SoakProfile, Termination } from './types.js';
import { createSystemClock } from '../core/clock.js';
import type { Millis } from '../core/clock.js';
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
    hostileGroups: [],
    hindrances: [],
    leavingSlots: new Set(),
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
  const pipeliningCallers = Array.from(
    { length: seed < FIRST_STATING_SEED ? 0 : PIPELINING_CALLER_COUNT },
    (_, index) => {
      const random = createSeededSource(seed, `pipelining caller ${index.toString()}`);
      return runPipeliningCaller(soak, index, random, HABITS[profile]);
    },
  );
  const plan = planSoak(seed, durationMs, profile);
  const faults = plan.map(async ({ at, fault }) => {
    await wait(at);
    await applyFault(soak, fault);
  });
  await Promise.all(faults);
  // Terminations that began last may still be in progress.
  await Promise.all(soak.gateways.map((gateway) => gateway.waitUntilRunning()));
  const recoveredAt = await waitForRecovery(soak);
  const atOnce = await checkServingAtOnce(soak, HABITS[profile].callTimeoutMs);
  soak.phase = 'over';
  await Promise.all([...callers, ...pipeliningCallers]);
  const recoveryFindings = checkRecovery(soak.calls, recoveredAt, soak.platform.answers.eventCount);
  soak.calls.push(...atOnce.calls);
  await closeSoak(soak);
  const observations = {
    ...soak,
    runs: soak.platform.listRuns(),
    brokenRuns: soak.platform.listBrokenRuns(),
    arrivals: soak.platform.listArrivals(),
  };
  const promiseFindings = checkPromises(observations, soak.platform.answers);
  return {
    findings: [...soak.findings, ...atOnce.findings, ...recoveryFindings, ...promiseFindings],
    faults: plan.length,
    calls: soak.calls.length,
    served: soak.calls.filter(
      ({ outcome }) => outcome.kind === 'answered' && outcome.status === STATUS_OK,
    ).length,
  };
};
