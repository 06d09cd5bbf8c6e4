import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startBalancer } from './balancer/balancer.js';
import { createCluster, listCallerUrls, stopProcesses } from './cluster.js';
import { createKey } from './keys.js';
import { planCluster } from './plan.js';
import type { ClusterPlan } from './plan.js';
import { createProcessControl } from './processes/control.js';
import type { ProcessControl } from './processes/control.js';
import { writeEndpointSettings, writeEntrySettings } from './settingsFiles.js';
import type { ClusterKeys, SettingsContext } from './settingsFiles.js';
import type { Cluster, ClusterOptions, CustomerSpec } from './types.js';

const DEFAULT_CUSTOMERS: readonly CustomerSpec[] = [{ id: 'customer-1' }];

const createKeys = (customers: readonly CustomerSpec[]): ClusterKeys => ({
  customers: customers.map((customer) => ({ ...customer, key: createKey() })),
  operatorKey: createKey(),
  ticketKey: createKey(),
});

const startPlatform = async (control: ProcessControl, plan: ClusterPlan): Promise<string> => {
  const [platform] = await control.start([plan.platform]);
  return platform?.urls['platform'] ?? '';
};

/**
 * Starts the stand-ins, then all daemons together, because they become ready only once they have
 * discovered each other.
 */
const startStandinsAndDaemons = async (
  control: ProcessControl,
  plan: ClusterPlan,
  context: SettingsContext,
): Promise<void> => {
  const standins = await control.start(plan.endpoints.map(({ standin }) => standin));
  const endpoints = plan.endpoints.map((planned, index) =>
    writeEndpointSettings(planned, standins[index]?.urls ?? {}, context),
  );
  const entries = plan.entries.map((entry) => writeEntrySettings(entry, context));
  await control.start([...endpoints, ...entries]);
};

/**
 * Starts a whole system as processes on loopback: stand-ins of the platform, engines and services,
 * endpoint daemons and entry daemons. The load balancer runs in this process. Settings files are
 * written to a new temporary directory.
 *
 * @param options - options of the cluster
 * @returns the cluster, with every daemon ready
 * @throws Error when a process fails to start; the started ones are stopped first
 */
export const startCluster = async (options: ClusterOptions = {}): Promise<Cluster> => {
  const plan = planCluster(options);
  const directory = mkdtempSync(join(tmpdir(), 'chestnutspan-'));
  const keys = createKeys(options.customers ?? DEFAULT_CUSTOMERS);
  const control = createProcessControl({
    directory,
    errorOutput: options.errorOutput ?? 'files',
    profileDirectory: options.profileDirectory,
    platformName: plan.platform.name,
  });
  const shared = { directory, keys, models: plan.models, options };
  const listTargets = (): readonly string[] => listCallerUrls(control);
  // Starts the balancer first, so that a port in use is reported before any process starts.
  const balancer = await startBalancer({ port: options.port ?? 0, listTargets });
  try {
    const context = { ...shared, platformUrl: await startPlatform(control, plan) };
    await startStandinsAndDaemons(control, plan, context);
    return createCluster({ plan, context, control, balancer });
  } catch (error) {
    await balancer.close();
    await stopProcesses(control, { ...shared, platformUrl: '' });
    throw error;
  }
};
