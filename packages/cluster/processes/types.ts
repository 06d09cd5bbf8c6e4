import type { Millis } from '../../core/clock.js';
import type { DataCentreId, InstanceId } from '../../core/ids.js';
import type { Step } from '../../core/step.js';

/** What a process of a cluster is. */
export type ProcessRole = 'platform' | 'engine' | 'ledger' | 'entry' | 'endpoint';

/** `listening`: it printed its addresses; `ready`: its readiness page agreed. */
export type ProcessPhase = 'starting' | 'listening' | 'ready' | 'frozen' | 'stopping' | 'exited';

export type ProcessSignal = 'SIGTERM' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

export type Urls = Readonly<Record<string, string>>;

/** Fields of a daemon in the platform's instance list that its settings fix. */
export interface Listing {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly model?: string;
  readonly version?: string;
  readonly service?: string;
}

export type ListedState = 'live' | 'leaving';

interface ProgramSpec {
  readonly name: string;
  /** Arguments of the command line. */
  readonly argv: readonly string[];
}

/** A process that the cluster can start. Only daemons are in the instance list. */
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

export interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
}

export interface ProcessState {
  readonly spec: ProcessSpec;
  /** Counts the starts; events of earlier runs are ignored. */
  readonly run: number;
  readonly phase: ProcessPhase;
  readonly pid: number | null;
  readonly urls: Urls;
  readonly exit: ProcessExit | null;
  /** What kept the process from being ready. */
  readonly problem: string | null;
}

/** Processes by name, in start order. */
export type ProcessTable = ReadonlyMap<string, ProcessState>;

interface RunRef {
  readonly name: string;
  readonly run: number;
}

export type ProcessesEvent =
  | { readonly kind: 'start'; readonly spec: ProcessSpec }
  | { readonly kind: 'signal'; readonly name: string; readonly signal: ProcessSignal }
  | { readonly kind: 'leave'; readonly name: string }
  | ({ readonly kind: 'spawned'; readonly pid: number } & RunRef)
  | ({ readonly kind: 'addresses-printed'; readonly urls: Urls } & RunRef)
  | ({ readonly kind: 'check-due' } & RunRef)
  | ({ readonly kind: 'checked'; readonly problem: string | null } & RunRef)
  | ({ readonly kind: 'start-overdue' } & RunRef)
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
