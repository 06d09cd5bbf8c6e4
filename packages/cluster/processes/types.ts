import type { Millis } from '../../core/clock.js';
import type { DataCentreId, InstanceId } from '../../core/ids.js';
import type { Step } from '../../core/step.js';

/** Program that a process runs: a stand-in or a daemon. */
export type ProcessRole = 'platform' | 'engine' | 'ledger' | 'entry' | 'endpoint';

/**
 * Phase of a process. A daemon is `listening` once it has printed its addresses, and `ready` once
 * its readiness page has answered 200. A stand-in is `ready` once it has printed its addresses.
 */
export type ProcessPhase = 'starting' | 'listening' | 'ready' | 'frozen' | 'stopping' | 'exited';

export type ProcessSignal = 'SIGTERM' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** Addresses that a process printed, keyed by interface, e.g. `http` or `rpc`. */
export type Urls = Readonly<Record<string, string>>;

/** Fields of a daemon's entry in the platform's instance list that are known before it starts. */
export interface Listing {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly model?: string;
  readonly version?: string;
  readonly service?: string;
}

/** State of a daemon in the platform's instance list. */
export type ListedState = 'live' | 'leaving';

interface ProgramSpec {
  readonly name: string;
  /** Command-line arguments. */
  readonly argv: readonly string[];
}

/** Specification of a process. Only daemons are registered in the instance list. */
export type ProcessSpec =
  | (ProgramSpec & {
      readonly kind: 'standin';
      readonly role: Extract<ProcessRole, 'platform' | 'engine' | 'ledger'>;
    })
  | (ProgramSpec & {
      readonly kind: 'daemon';
      readonly role: Extract<ProcessRole, 'entry' | 'endpoint'>;
      readonly listing: Listing;
    });

/** Exit code or signal of a process; both are null when it could not be spawned. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
}

export interface ProcessState {
  readonly spec: ProcessSpec;
  /** Number of the run, from 1; events of earlier runs are ignored. */
  readonly run: number;
  readonly phase: ProcessPhase;
  readonly pid: number | null;
  readonly urls: Urls;
  /** Null until the process has exited. */
  readonly exit: ProcessExit | null;
  /** Why the process is not ready, or why its registration failed; null without a problem. */
  readonly problem: string | null;
}

/** Processes by name, in start order. */
export type ProcessTable = ReadonlyMap<string, ProcessState>;

/** Run of a process that an event or effect refers to. */
interface RunRef {
  readonly name: string;
  readonly run: number;
}

/** Commands to processes, and observations of their runs. */
export type ProcessesEvent =
  | { readonly kind: 'start'; readonly spec: ProcessSpec }
  | { readonly kind: 'signal'; readonly name: string; readonly signal: ProcessSignal }
  /** Marks a daemon as `leaving` in the instance list, then sends it SIGTERM. */
  | { readonly kind: 'leave'; readonly name: string }
  | ({ readonly kind: 'spawned'; readonly pid: number } & RunRef)
  | ({ readonly kind: 'addresses-printed'; readonly urls: Urls } & RunRef)
  /** The next readiness check is due. */
  | ({ readonly kind: 'check-due' } & RunRef)
  /** Result of a readiness check; `problem` is null when the daemon is ready. */
  | ({ readonly kind: 'checked'; readonly problem: string | null } & RunRef)
  /** The start timeout has elapsed. */
  | ({ readonly kind: 'start-overdue' } & RunRef)
  /** The instance list has stored the state of the daemon. */
  | ({ readonly kind: 'listed'; readonly state: ListedState } & RunRef)
  | ({ readonly kind: 'list-failed'; readonly problem: string } & RunRef)
  | ({ readonly kind: 'exited'; readonly exit: ProcessExit } & RunRef);

export type ClusterEvent = { readonly to: 'processes' } & ProcessesEvent;

export type ClusterEffect =
  | ({ readonly kind: 'spawn'; readonly argv: readonly string[] } & RunRef)
  | ({ readonly kind: 'send-signal'; readonly signal: ProcessSignal } & RunRef)
  | ({ readonly kind: 'check-ready'; readonly url: string } & RunRef)
  | ({
      readonly kind: 'list-instance';
      readonly role: 'entry' | 'endpoint';
      readonly listing: Listing;
      readonly state: ListedState;
      readonly rpcUrl: string;
      readonly httpUrl: string;
    } & RunRef)
  | ({ readonly kind: 'unlist-instance'; readonly id: InstanceId } & RunRef)
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: ClusterEvent };

export type ProcessesStep = Step<ProcessTable, ClusterEffect>;
