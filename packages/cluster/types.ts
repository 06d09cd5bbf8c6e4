import type { z } from 'zod';
import type { ProcessExit, ProcessRole } from './processes/types.js';
import type { Millis } from '../core/clock.js';
import type { DataCentreId, ModelName, VersionName } from '../core/ids.js';
import type { ENDPOINT_SCHEMA } from '../settings/endpointSchema.js';
import type { ENTRY_SCHEMA } from '../settings/entrySchema.js';
import type { EngineSettings } from '../standins/engine/types.js';
import type { PlatformOptions } from '../standins/platform/types.js';

export type EntrySettingsInput = z.input<typeof ENTRY_SCHEMA>;

export type EndpointSettingsInput = z.input<typeof ENDPOINT_SCHEMA>;

/** Start options of an engine stand-in that its command has flags for. */
export type EngineStandinOptions = Partial<
  Pick<
    EngineSettings,
    | 'fencing'
    | 'seed'
    | 'memoryTokens'
    | 'warmUpMs'
    | 'stepBaseMs'
    | 'maxRunning'
    | 'coldConcurrency'
    | 'warmConcurrency'
    | 'rampMs'
    | 'meanOutputTokens'
    | 'loadLagMs'
  >
>;

/** One engine with its endpoint daemon. */
export interface EngineSpec {
  readonly model?: ModelName;
  readonly version?: VersionName;
  /** Data centres are taken in turn when none is given. */
  readonly dataCentre?: DataCentreId;
  readonly standin?: EngineStandinOptions;
}

export interface CustomerSpec {
  readonly id: string;
  readonly weight?: number;
  readonly defaultClass?: string;
}

/** What a cluster consists of; a missing field takes its default. */
export interface ClusterOptions {
  readonly dataCentres?: readonly DataCentreId[];
  readonly entryDaemons?: number;
  readonly engines?: readonly EngineSpec[];
  /** Ledger services, each with its endpoint daemon. */
  readonly ledgers?: number;
  readonly ledgerCallMs?: Millis;
  /** Bounds of the endpoint daemons' admission limit. */
  readonly admission?: EndpointSettingsInput['admission'];
  /** Name of the plain service; `ledger` when absent. */
  readonly serviceName?: string;
  readonly customers?: readonly CustomerSpec[];
  readonly policy?: EntrySettingsInput['policy'];
  readonly limits?: EntrySettingsInput['limits'];
  readonly platform?: Pick<PlatformOptions, 'appendsPerSecond' | 'retentionRecords' | 'listLagMs'>;
  readonly drainMs?: Millis;
  /** Receiver of the notifications for operators. */
  readonly webhookUrl?: string;
  /** Port of the balancer on 127.0.0.1; 0 takes a free one. */
  readonly port?: number;
  readonly logFormat?: 'json' | 'text';
  /** Where the error output of the processes goes: files in the directory, or that of the caller. */
  readonly errorOutput?: 'files' | 'inherit';
  /** Directory for processor profiles (`.cpuprofile`) that the processes write when they end. */
  readonly profileDirectory?: string;
}

/** One process of a cluster. Fields show the newest run of it. */
export interface ClusterProcess {
  readonly name: string;
  readonly role: ProcessRole;
  readonly pid: number;
  readonly urls: Readonly<Record<string, string>>;
  /** Sends a signal that ends the process, and resolves when it has ended. */
  readonly kill: (signal?: 'SIGTERM' | 'SIGINT' | 'SIGKILL') => Promise<ProcessExit>;
  /** Sends SIGSTOP. */
  readonly freeze: () => void;
  /** Sends SIGCONT. */
  readonly resume: () => void;
  /** Ends the process with SIGTERM if it still runs, and starts it again with its settings. */
  readonly restart: () => Promise<void>;
  /** Resolves when the process has ended. */
  readonly waitForExit: () => Promise<ProcessExit>;
}

export interface LedgerUrls {
  readonly service: string;
  readonly inspection: string;
}

/** Addresses of the stand-ins. */
export interface StandinUrls {
  readonly platform: string;
  /** By name of the engine. */
  readonly engines: Readonly<Record<string, string>>;
  /** By name of the ledger. */
  readonly ledgers: Readonly<Record<string, LedgerUrls>>;
}

/** An engine and the daemon beside it. */
export interface EngineWithEndpoint {
  readonly engine: ClusterProcess;
  readonly endpoint: ClusterProcess;
}

/** A running system with its stand-ins, all on loopback. */
export interface Cluster {
  /** Address of the balancer before the entry daemons. */
  readonly baseUrl: string;
  /** Callers' addresses of the entry daemons. */
  readonly entryUrls: readonly string[];
  /** Addresses for messages between daemons, by name of the daemon. */
  readonly rpcUrls: Readonly<Record<string, string>>;
  readonly operatorUrl: string;
  readonly model: ModelName;
  /** Bearer keys by name of the customer. */
  readonly customerKeys: Readonly<Record<string, string>>;
  readonly operatorKey: string;
  readonly standinUrls: StandinUrls;
  /** Settings and error output; removed by `stop`. */
  readonly directory: string;
  /** All processes in start order. */
  readonly processes: readonly ClusterProcess[];
  /** Finds a process by its name; throws when there is none. */
  readonly findProcess: (name: string) => ClusterProcess;
  readonly addEngine: (spec: EngineSpec) => Promise<EngineWithEndpoint>;
  /** Marks a daemon as leaving in the instance list, then sends SIGTERM. */
  readonly drainDaemon: (name: string) => Promise<ProcessExit>;
  /** Ends all processes in reverse start order and removes the directory. */
  readonly stop: () => Promise<void>;
}
