import {
  DEFAULT_DATA_CENTRES,
  DEFAULT_ENGINES,
  DEFAULT_ENTRY_DAEMONS,
  DEFAULT_LEDGERS,
  DEFAULT_MODEL,
  DEFAULT_VERSION,
  LEDGER_SERVICE,
} from './constants.js';
import type { ProcessSpec } from './processes/types.js';
import type { ClusterOptions, EngineSpec, EngineStandinOptions } from './types.js';
import type { DataCentreId, ModelName, VersionName } from '../core/ids.js';

/** Engine or service that an endpoint daemon serves. */
export type EndpointTarget =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      readonly version: VersionName;
      readonly fencing: 'checked' | 'ignored';
    }
  | { readonly kind: 'service'; readonly service: string; readonly version: VersionName };

/** A stand-in and the endpoint daemon that serves it. */
export interface PlannedEndpoint {
  readonly standin: ProcessSpec;
  /** Process name of the endpoint daemon. */
  readonly endpoint: string;
  readonly dataCentre: DataCentreId;
  readonly target: EndpointTarget;
}

/** An entry daemon. */
export interface PlannedEntry {
  readonly name: string;
  readonly dataCentre: DataCentreId;
}

/** All processes that a cluster starts, in start order. */
export interface ClusterPlan {
  readonly platform: ProcessSpec;
  readonly endpoints: readonly PlannedEndpoint[];
  readonly entries: readonly PlannedEntry[];
  readonly dataCentres: readonly DataCentreId[];
  readonly models: readonly ModelName[];
}

/** Numbers of planned processes; the names of further ones continue from them. */
export interface ProcessCounts {
  readonly engines: number;
  readonly endpoints: number;
}

/** Converts options to command-line flags: `{ warmUpMs: 5 }` becomes `--warm-up-ms 5`. */
const toFlags = (options: object): readonly string[] =>
  Object.entries(options).flatMap(([name, value]) => {
    if (value === undefined) return [];
    const flag = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
    return [`--${flag}`, String(value)];
  });

const buildStandin = (
  command: 'platform' | 'engine' | 'service',
  role: Extract<ProcessSpec, { kind: 'standin' }>['role'],
  name: string,
  options: object,
): ProcessSpec => ({
  kind: 'standin',
  role,
  name,
  argv: ['standin', command, '--json', '--stop-with-input', ...toFlags(options)],
});

/**
 * Plans an engine and its endpoint daemon.
 *
 * @param spec - model, version, data centre and options of the stand-in
 * @param counts - processes planned so far
 * @param dataCentres - data centres to assign round-robin when `spec` names none
 * @returns the engine and its endpoint daemon
 */
export const planEngine = (
  spec: EngineSpec,
  counts: ProcessCounts,
  dataCentres: readonly DataCentreId[],
): PlannedEndpoint => {
  const model = spec.model ?? DEFAULT_MODEL;
  const version = spec.version ?? DEFAULT_VERSION;
  const { fencing = 'checked', ...rest }: EngineStandinOptions = spec.standin ?? {};
  const options = { model, version, fencing, ...rest };
  return {
    standin: buildStandin('engine', 'engine', `engine-${(counts.engines + 1).toString()}`, options),
    endpoint: `endpoint-${(counts.endpoints + 1).toString()}`,
    dataCentre: spec.dataCentre ?? pickRoundRobin(dataCentres, counts.engines),
    target: { kind: 'model', model, version, fencing },
  };
};

const pickRoundRobin = (dataCentres: readonly DataCentreId[], index: number): DataCentreId =>
  dataCentres[index % dataCentres.length] ?? DEFAULT_DATA_CENTRES[0];

const planLedger = (
  index: number,
  endpointCount: number,
  dataCentres: readonly DataCentreId[],
  service: string,
  options: object,
): PlannedEndpoint => ({
  standin: buildStandin('service', 'ledger', `ledger-${(index + 1).toString()}`, options),
  endpoint: `endpoint-${(endpointCount + 1).toString()}`,
  dataCentre: pickRoundRobin(dataCentres, index),
  target: { kind: 'service', service, version: DEFAULT_VERSION },
});

const buildRange = (length: number): readonly number[] =>
  Array.from({ length }, (_, index) => index);

/**
 * Plans a cluster: process names, data centres and the arguments of the stand-ins.
 *
 * @param options - options of the cluster
 * @returns the plan; the daemons' settings need the addresses of the started stand-ins and follow
 */
export const planCluster = (options: ClusterOptions): ClusterPlan => {
  const dataCentres = options.dataCentres ?? DEFAULT_DATA_CENTRES;
  const engineSpecs = options.engines ?? buildRange(DEFAULT_ENGINES).map(() => ({}));
  const engines = engineSpecs.map((spec, index) =>
    planEngine(spec, { engines: index, endpoints: index }, dataCentres),
  );
  const service = options.serviceName ?? LEDGER_SERVICE;
  const ledgerOptions = { callMs: options.ledgerCallMs };
  const ledgers = buildRange(options.ledgers ?? DEFAULT_LEDGERS).map((index) =>
    planLedger(index, engines.length + index, dataCentres, service, ledgerOptions),
  );
  const models = engineSpecs.map(({ model }: EngineSpec) => model ?? DEFAULT_MODEL);
  return {
    platform: buildStandin('platform', 'platform', 'platform-1', options.platform ?? {}),
    endpoints: [...engines, ...ledgers],
    entries: buildRange(options.entryDaemons ?? DEFAULT_ENTRY_DAEMONS).map((index) => ({
      name: `entry-${(index + 1).toString()}`,
      dataCentre: pickRoundRobin(dataCentres, index),
    })),
    dataCentres,
    models: [...new Set(models)],
  };
};
