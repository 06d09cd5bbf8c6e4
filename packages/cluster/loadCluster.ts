import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { startCluster } from './startCluster.js';
import type { Cluster, ClusterOptions } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { RunningCluster } from '../load/runLoad.js';
import type { LoadPolicy, OperatorAction, ProcessFault, Scenario } from '../load/scenario/types.js';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;

const toClusterOptions = (scenario: Scenario, policy: LoadPolicy): ClusterOptions => {
  const { deployment, customers } = scenario;
  const [service] = deployment.services;
  return {
    dataCentres: deployment.dataCentres.map(({ name }) => name),
    entryDaemons: deployment.entries,
    engines: deployment.engines.map(({ model, version, dataCentre, options }) => ({
      model,
      version,
      dataCentre,
      standin: options,
    })),
    ledgers: deployment.services.length,
    ...(service === undefined
      ? {}
      : { serviceName: service.service, ledgerCallMs: service.callMs }),
    customers: customers.map(({ id, weight }) => ({ id, weight })),
    ...(deployment.admission === undefined ? {} : { admission: deployment.admission }),
    policy,
  };
};

/** Publishes a configuration record based on the current offset of its entity. */
const publishRecord = async (
  cluster: Cluster,
  kind: string,
  entity: string,
  body: unknown,
): Promise<void> => {
  const headers = {
    authorization: `Bearer ${cluster.operatorKey}`,
    'content-type': 'application/json',
  };
  const current = await request(`${cluster.operatorUrl}/operator/configuration`, { headers });
  const { entities } = (await current.body.json()) as {
    readonly entities: readonly { kind: string; entity: string; offset: number }[];
  };
  const existing = entities.find((entry) => entry.kind === kind && entry.entity === entity);
  const answer = await request(`${cluster.operatorUrl}/operator/records`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ kind, entity, basedOn: existing?.offset ?? null, body }),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200)
    throw new Error(`the entry daemon refused record ${kind} ${entity}: ${text}`);
};

const publishTargets = async (cluster: Cluster, scenario: Scenario): Promise<void> => {
  const classes = scenario.classes.map(({ name, targets }) => ({ className: name, ...targets }));
  await publishRecord(cluster, 'targets', 'targets', { classes });
};

const performOperatorAction = (cluster: Cluster, action: OperatorAction): Promise<void> => {
  switch (action.kind) {
    case 'take-out':
      return publishRecord(cluster, 'data-centre', action.dataCentre, { state: 'out' });
    case 'restore':
      return publishRecord(cluster, 'data-centre', action.dataCentre, { state: 'in' });
    case 'start-move': {
      const { name, model, from, to, finishInMs } = action;
      const startedAt = Date.now();
      const deadline = startedAt + finishInMs;
      return publishRecord(cluster, 'move', name, { name, model, from, to, startedAt, deadline });
    }
    default:
      return assertNever(action);
  }
};

const applyFault = async (cluster: Cluster, name: string, fault: ProcessFault): Promise<void> => {
  const process = cluster.findProcess(name);
  switch (fault.kind) {
    case 'kill':
      await process.kill('SIGKILL');
      return;
    case 'stop':
      await process.kill('SIGTERM');
      return;
    case 'start':
      await process.restart();
      return;
    case 'pause':
      process.freeze();
      await sleep(fault.forMs);
      process.resume();
      return;
    default:
      assertNever(fault);
  }
};

const isReady = async (url: string): Promise<boolean> => {
  const answer = await request(`${url}/readyz`);
  await answer.body.dump();
  return answer.statusCode === 200;
};

/** Waits until every daemon is ready, so that no run starts with cold endpoints. */
const waitForReady = async (cluster: Cluster): Promise<void> => {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  for (const process of cluster.processes) {
    const url = process.urls['callers'] ?? process.urls['http'];
    if (url === undefined) continue;
    while (!(await isReady(url))) {
      if (Date.now() > deadline) throw new Error(`${process.name} did not become ready in time`);
      await sleep(READY_POLL_MS);
    }
  }
};

/**
 * Starts a cluster of processes for one run of a scenario and publishes the scenario's targets.
 *
 * @param scenario - deployment, customers and classes
 * @param policy - placement policy of the entry daemons
 * @returns the cluster, with engines and services keyed by their ids in the scenario
 * @throws Error when a process fails to start or become ready, or the targets are refused
 */
export const startLoadCluster = async (
  scenario: Scenario,
  policy: LoadPolicy,
): Promise<RunningCluster> => {
  const cluster = await startCluster(toClusterOptions(scenario, policy));
  try {
    await publishTargets(cluster, scenario);
    await waitForReady(cluster);
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  const { engines, ledgers, platform } = cluster.standinUrls;
  const engineUrls = Object.values(engines);
  const ledgerUrls = Object.values(ledgers);
  return {
    entryUrls: cluster.entryUrls,
    customerKeys: cluster.customerKeys,
    engineUrls: Object.fromEntries(
      scenario.deployment.engines.map(({ id }, index) => [id, engineUrls[index] ?? '']),
    ),
    ledgerUrls: Object.fromEntries(
      scenario.deployment.services.map(({ id }, index) => [
        id,
        {
          url: ledgerUrls[index]?.service ?? '',
          inspectionUrl: ledgerUrls[index]?.inspection ?? '',
        },
      ]),
    ),
    platformUrl: platform,
    applyFault: (process, fault) => applyFault(cluster, process, fault),
    performOperatorAction: (action) => performOperatorAction(cluster, action),
    close: cluster.stop,
  };
};
