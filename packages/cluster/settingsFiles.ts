import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { CLUSTER_DRAIN_MS, LEDGER_SERVICE } from './constants.js';
import { hashKey } from './keys.js';
import type { EndpointTarget, PlannedEndpoint, PlannedEntry } from './plan.js';
import type { Listing, ProcessSpec, Urls } from './processes/types.js';
import type {
  ClusterOptions,
  CustomerSpec,
  EndpointSettingsInput,
  EntrySettingsInput,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { ModelName } from '../core/ids.js';

/** Bearer keys and ticket secret of a cluster. Settings files contain only hashes of bearer keys. */
export interface ClusterKeys {
  readonly customers: readonly (CustomerSpec & { readonly key: string })[];
  readonly operatorKey: string;
  /** Secret that signs resume tickets. */
  readonly ticketKey: string;
}

/** Inputs shared by the settings files of all daemons of a cluster. */
export interface SettingsContext {
  readonly directory: string;
  readonly platformUrl: string;
  readonly keys: ClusterKeys;
  readonly models: readonly ModelName[];
  readonly options: ClusterOptions;
}

const FREE_LOOPBACK_PORT = { host: '127.0.0.1', port: 0 } as const;

const LEDGER_ROUTES: NonNullable<EntrySettingsInput['services']>[number]['routes'] = [
  { method: 'GET', path: '/balances/{account}', repeat: 'allowed' },
  { method: 'POST', path: '/sweeps', repeat: 'never' },
  { method: 'POST', path: '/pickups', repeat: 'never' },
  { method: 'POST', path: '/credits', repeat: 'never' },
];

const toInstanceId = (name: string): string => `instance-${name}`;

const buildEntrySettings = (entry: PlannedEntry, context: SettingsContext): EntrySettingsInput => {
  const { platformUrl, keys, models, options } = context;
  return {
    process: entry.name,
    instance: toInstanceId(entry.name),
    dataCentre: entry.dataCentre,
    callers: FREE_LOOPBACK_PORT,
    rpc: FREE_LOOPBACK_PORT,
    platform: { logUrl: platformUrl, listUrl: platformUrl, weightsUrl: platformUrl },
    ticketKey: keys.ticketKey,
    customers: keys.customers.map(({ key, ...customer }) => ({
      ...customer,
      keyHash: hashKey(key),
    })),
    operators: [{ name: 'operator-1', keyHash: hashKey(keys.operatorKey) }],
    services: [{ name: options.serviceName ?? LEDGER_SERVICE, routes: LEDGER_ROUTES }],
    models: [...models],
    ...(options.policy === undefined ? {} : { policy: options.policy }),
    ...(options.limits === undefined ? {} : { limits: options.limits }),
    ...(options.webhookUrl === undefined ? {} : { webhookUrl: options.webhookUrl }),
    drainMs: options.drainMs ?? CLUSTER_DRAIN_MS,
    log: { format: options.logFormat ?? 'json' },
  };
};

const buildTarget = (target: EndpointTarget, urls: Urls): EndpointSettingsInput['target'] => {
  switch (target.kind) {
    case 'model':
      return { ...target, engineUrl: urls['engine'] ?? '' };
    case 'service':
      return { ...target, serviceUrl: urls['service'] ?? '' };
    default:
      return assertNever(target);
  }
};

const buildEndpointSettings = (
  planned: PlannedEndpoint,
  standinUrls: Urls,
  context: SettingsContext,
): EndpointSettingsInput => ({
  process: planned.endpoint,
  instance: toInstanceId(planned.endpoint),
  endpoint: planned.endpoint,
  dataCentre: planned.dataCentre,
  http: FREE_LOOPBACK_PORT,
  rpc: FREE_LOOPBACK_PORT,
  platform: { listUrl: context.platformUrl },
  target: buildTarget(planned.target, standinUrls),
  ...(context.options.admission === undefined ? {} : { admission: context.options.admission }),
  drainMs: context.options.drainMs ?? CLUSTER_DRAIN_MS,
  log: { format: context.options.logFormat ?? 'json' },
});

const toTargetListing = (target: EndpointTarget): Partial<Listing> => {
  const { version } = target;
  switch (target.kind) {
    case 'model':
      return { model: target.model, version };
    case 'service':
      return { service: target.service, version };
    default:
      return assertNever(target);
  }
};

const writeSettings = (directory: string, name: string, content: object): string => {
  const file = join(directory, `${name}.json`);
  writeFileSync(file, `${JSON.stringify(content, undefined, 2)}\n`);
  return file;
};

const toRunArguments = (role: 'entry' | 'endpoint', file: string): readonly string[] => [
  'run',
  role,
  file,
  '--json',
  '--stop-with-input',
];

/**
 * Writes the settings file of an entry daemon.
 *
 * @param entry - name and data centre of the daemon
 * @param context - inputs shared by all daemons
 * @returns specification of the process that runs with the file
 */
export const writeEntrySettings = (entry: PlannedEntry, context: SettingsContext): ProcessSpec => {
  const file = writeSettings(context.directory, entry.name, buildEntrySettings(entry, context));
  return {
    kind: 'daemon',
    role: 'entry',
    name: entry.name,
    argv: toRunArguments('entry', file),
    listing: { id: toInstanceId(entry.name), dataCentre: entry.dataCentre },
  };
};

/**
 * Writes the settings file of an endpoint daemon.
 *
 * @param planned - name, data centre and target of the daemon
 * @param standinUrls - addresses that its stand-in printed
 * @param context - inputs shared by all daemons
 * @returns specification of the process that runs with the file
 */
export const writeEndpointSettings = (
  planned: PlannedEndpoint,
  standinUrls: Urls,
  context: SettingsContext,
): ProcessSpec => {
  const { endpoint: name, dataCentre, target } = planned;
  const content = buildEndpointSettings(planned, standinUrls, context);
  const file = writeSettings(context.directory, name, content);
  return {
    kind: 'daemon',
    role: 'endpoint',
    name,
    argv: toRunArguments('endpoint', file),
    listing: { id: toInstanceId(name), dataCentre, ...toTargetListing(target) },
  };
};
