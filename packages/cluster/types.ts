import type { z } from 'zod';
import type { ProcessExit, ProcessRole } from './processes/types.js';
import type { Millis } from '../core/clock.js';
import type { DataCentreId, ModelName, VersionName } from '../core/ids.js';
import type { ENDPOINT_SCHEMA } from '../settings/endpointSchema.js';
import type { ENTRY_SCHEMA } from '../settings/entrySchema.js';
import type { EngineSettings } from '../standins/engine/types.js';
import type { PlatformOptions } from '../standins/platform/types.js';

/** Content of an entry daemon's settings file, before defaults apply. */
export type EntrySettingsInput = z.input<typeof ENTRY_SCHEMA>;

/** Content of an endpoint daemon's settings file, before defaults apply. */
export type EndpointSettingsInput = z.input<typeof ENDPOINT_SCHEMA>;

/** Options of an engine stand-in that can be set with command-line flags. */
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

/** Configuration of an engine stand-in and its endpoint daemon. */
export interface EngineSpec {
  readonly model?: ModelName;
  readonly version?: VersionName;
  /** Assigned round-robin by default. */
  readonly dataCentre?: DataCentreId;
  readonly standin?: EngineStandinOptions;
}

/** Customer in the settings of the entry daemons. */
export interface CustomerSpec {
  readonly id: string;
  readonly weight?: number;
  readonly defaultClass?: string;
}

/** Options of a cluster; every field has a default. */
export interface ClusterOptions {
  readonly dataCentres?: readonly DataCentreId[];
  readonly entryDaemons?: number;
  readonly engines?: readonly EngineSpec[];
  /** Number of ledger stand-ins; each gets an endpoint daemon. */
  readonly ledgers?: number;
  /** Duration of a call at a ledger stand-in. */
  readonly ledgerCallMs?: Millis;
  /** Bounds of the admission limit of each endpoint daemon. */
  readonly admission?: EndpointSettingsInput['admission'];
  /** Name of the service that the ledger stand-ins provide; defaults to `ledger`. */
  readonly serviceName?: string;
  readonly customers?: readonly CustomerSpec[];
  readonly policy?: EntrySettingsInput['policy'];
  readonly limits?: EntrySettingsInput['limits'];
  readonly platform?: Pick<PlatformOptions, 'appendsPerSecond' | 'retentionRecords' | 'listLagMs'>;
  readonly drainMs?: Millis;
  /** URL that receives the notifications for operators. */
  readonly webhookUrl?: string;
  /** Port of the load balancer on 127.0.0.1; 0 selects a free port. */
  readonly port?: number;
  readonly logFormat?: 'json' | 'text';
  /** Destination of the processes' stderr: files in `directory`, or the stderr of this process. */
  readonly errorOutput?: 'files' | 'inherit';
  /** Directory for the CPU profiles (`.cpuprofile`) that the processes write when they exit. */
  readonly profileDirectory?: string;
}

/** Handle of a process of a cluster. Its fields describe the latest run of the process. */
export interface ClusterProcess {
  readonly name: string;
  readonly role: ProcessRole;
  readonly pid: number;
  readonly urls: Readonly<Record<string, string>>;
  /** Sends a signal, SIGKILL by default, and resolves when the process has exited. */
  readonly kill: (signal?: 'SIGTERM' | 'SIGINT' | 'SIGKILL') => Promise<ProcessExit>;
  /** Sends SIGSTOP. */
  readonly freeze: () => void;
  /** Sends SIGCONT. */
  readonly resume: () => void;
  /** Stops the process with SIGTERM if it is running, and starts it with the same settings. */
  readonly restart: () => Promise<void>;
  /** Resolves when the process has exited. */
  readonly waitForExit: () => Promise<ProcessExit>;
}

/** Addresses of a ledger stand-in. */
export interface LedgerUrls {
  readonly service: string;
  readonly inspection: string;
}

/** Addresses of the stand-ins. */
export interface StandinUrls {
  readonly platform: string;
  /** Keyed by process name of the engine. */
  readonly engines: Readonly<Record<string, string>>;
  /** Keyed by process name of the ledger. */
  readonly ledgers: Readonly<Record<string, LedgerUrls>>;
}

/** Processes of an engine stand-in and its endpoint daemon. */
export interface EngineWithEndpoint {
  readonly engine: ClusterProcess;
  readonly endpoint: ClusterProcess;
}

/** A running system with its stand-ins. All processes listen on loopback. */
export interface Cluster {
  /** Address of the load balancer in front of the entry daemons. */
  readonly baseUrl: string;
  /** Addresses at which the entry daemons serve callers. */
  readonly entryUrls: readonly string[];
  /** Addresses for RPCs between daemons, keyed by process name. */
  readonly rpcUrls: Readonly<Record<string, string>>;
  /** Address of the operator API of the first entry daemon. */
  readonly operatorUrl: string;
  /** The first model that the cluster serves. */
  readonly model: ModelName;
  /** Bearer keys, keyed by customer id. */
  readonly customerKeys: Readonly<Record<string, string>>;
  readonly operatorKey: string;
  readonly standinUrls: StandinUrls;
  /** Directory of the settings files and stderr files; removed by `stop`. */
  readonly directory: string;
  /** All processes, in start order. */
  readonly processes: readonly ClusterProcess[];
  /** Finds a process by its name; throws when no process has the name. */
  readonly findProcess: (name: string) => ClusterProcess;
  /** Starts another engine stand-in and its endpoint daemon. */
  readonly addEngine: (spec: EngineSpec) => Promise<EngineWithEndpoint>;
  /**
   * Marks a daemon as `leaving` in the instance list, then sends SIGTERM. Resolves when the daemon
   * has exited.
   */
  readonly drainDaemon: (name: string) => Promise<ProcessExit>;
  /** Stops all processes, role by role in reverse start order, and removes the directory. */
  readonly stop: () => Promise<void>;
}
