import { rmSync } from 'node:fs';
import type { Balancer } from './balancer/balancer.js';
import { CLUSTER_DRAIN_MS, DEFAULT_MODEL, STOP_MARGIN_MS } from './constants.js';
import { planEngine } from './plan.js';
import type { ClusterPlan, PlannedEndpoint } from './plan.js';
import type { ProcessControl } from './processes/control.js';
import type { ProcessRole, ProcessState, Urls } from './processes/types.js';
import { writeEndpointSettings } from './settingsFiles.js';
import type { SettingsContext } from './settingsFiles.js';
import type { Cluster, ClusterProcess, EngineWithEndpoint, StandinUrls } from './types.js';

/** Components of a started cluster. */
export interface ClusterParts {
  readonly plan: ClusterPlan;
  readonly context: SettingsContext;
  readonly control: ProcessControl;
  readonly balancer: Balancer;
}

/** Roles in stop order; entry daemons stop first, so that callers are released. */
const STOP_ORDER: readonly ProcessRole[] = ['entry', 'endpoint', 'ledger', 'engine', 'platform'];

const findState = (control: ProcessControl, name: string): ProcessState => {
  const state = control.getTable().get(name);
  if (state === undefined) throw new Error(`no process is called ${name}`);
  return state;
};

const listStates = (control: ProcessControl, role: ProcessRole): readonly ProcessState[] =>
  [...control.getTable().values()].filter(({ spec }) => spec.role === role);

/**
 * Lists the caller addresses of the entry daemons that are ready.
 *
 * @param control - processes of the cluster
 * @returns addresses without those of frozen or stopping daemons, as after a failed health check
 */
export const listCallerUrls = (control: ProcessControl): readonly string[] =>
  listStates(control, 'entry')
    .filter(({ phase }) => phase === 'ready')
    .map(({ urls }) => urls['callers'] ?? '');

/**
 * Stops the processes of a cluster, role by role in reverse start order, and its loop, and removes
 * its directory.
 *
 * @param control - processes of the cluster
 * @param context - drain time of the daemons, and the directory of the cluster
 */
export const stopProcesses = async (
  control: ProcessControl,
  { options, directory }: SettingsContext,
): Promise<void> => {
  const withinMs = (options.drainMs ?? CLUSTER_DRAIN_MS) + STOP_MARGIN_MS;
  for (const role of STOP_ORDER) {
    const running = listStates(control, role).filter(({ phase }) => phase !== 'exited');
    await control.stop(
      running.map(({ spec }) => spec.name),
      withinMs,
    );
  }
  await control.close();
  rmSync(directory, { recursive: true, force: true });
};

const createProcessHandle = (
  control: ProcessControl,
  { spec: { name, role } }: ProcessState,
): ClusterProcess => {
  const kill: ClusterProcess['kill'] = (signal = 'SIGKILL') => {
    control.post({ kind: 'signal', name, signal });
    return control.waitForExit(name);
  };
  return {
    name,
    role,
    get pid() {
      return findState(control, name).pid ?? 0;
    },
    get urls() {
      return findState(control, name).urls;
    },
    kill,
    freeze: () => {
      control.post({ kind: 'signal', name, signal: 'SIGSTOP' });
    },
    resume: () => {
      control.post({ kind: 'signal', name, signal: 'SIGCONT' });
    },
    restart: async () => {
      await kill('SIGTERM');
      await control.start([findState(control, name).spec]);
    },
    waitForExit: () => control.waitForExit(name),
  };
};

const collectUrls = <Value>(
  states: readonly ProcessState[],
  pick: (urls: Urls) => Value,
): Readonly<Record<string, Value>> =>
  Object.fromEntries(states.map(({ spec, urls }) => [spec.name, pick(urls)]));

const listStandinUrls = (control: ProcessControl, platformName: string): StandinUrls => ({
  platform: findState(control, platformName).urls['platform'] ?? '',
  engines: collectUrls(listStates(control, 'engine'), (urls) => urls['engine'] ?? ''),
  ledgers: collectUrls(listStates(control, 'ledger'), (urls) => ({
    service: urls['service'] ?? '',
    inspection: urls['inspection'] ?? '',
  })),
});

/** Starts an engine and its endpoint daemon. */
const startEngine = async (
  { context, control }: ClusterParts,
  planned: PlannedEndpoint,
): Promise<EngineWithEndpoint> => {
  const [engine] = await control.start([planned.standin]);
  if (engine === undefined) throw new Error('the engine did not start');
  const [endpoint] = await control.start([writeEndpointSettings(planned, engine.urls, context)]);
  if (endpoint === undefined) throw new Error('the endpoint daemon did not start');
  return {
    engine: createProcessHandle(control, engine),
    endpoint: createProcessHandle(control, endpoint),
  };
};

/**
 * Creates the handle of a started cluster.
 *
 * @param parts - components of the cluster
 * @returns the handle
 */
export const createCluster = (parts: ClusterParts): Cluster => {
  const { plan, context, control, balancer } = parts;
  const { keys, directory } = context;
  const listEntries = (): readonly ProcessState[] => listStates(control, 'entry');
  let counts = {
    engines: listStates(control, 'engine').length,
    endpoints: plan.endpoints.length,
  };
  const getCallerUrls = (): readonly string[] =>
    listEntries().map(({ urls }) => urls['callers'] ?? '');
  return {
    baseUrl: balancer.url,
    get entryUrls() {
      return getCallerUrls();
    },
    get rpcUrls() {
      const daemons = [...listEntries(), ...listStates(control, 'endpoint')];
      return collectUrls(daemons, (urls) => urls['rpc'] ?? '');
    },
    get operatorUrl() {
      return getCallerUrls()[0] ?? '';
    },
    model: plan.models[0] ?? DEFAULT_MODEL,
    customerKeys: Object.fromEntries(keys.customers.map(({ id, key }) => [id, key])),
    operatorKey: keys.operatorKey,
    get standinUrls() {
      return listStandinUrls(control, plan.platform.name);
    },
    directory,
    get processes() {
      return [...control.getTable().values()].map((state) => createProcessHandle(control, state));
    },
    findProcess: (name) => createProcessHandle(control, findState(control, name)),
    addEngine: (spec) => {
      const planned = planEngine(spec, counts, plan.dataCentres);
      counts = { engines: counts.engines + 1, endpoints: counts.endpoints + 1 };
      return startEngine(parts, planned);
    },
    drainDaemon: (name) => {
      control.post({ kind: 'leave', name });
      return control.waitForExit(name);
    },
    stop: async () => {
      await balancer.close();
      await stopProcesses(control, context);
    },
  };
};
