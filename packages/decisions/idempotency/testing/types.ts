import type { NonceTable } from '../nonces.js';
import type { IntentTable } from '../table.js';
import type { IntentState, IntentStreamRecord, Nonce, StoredAnswer } from '../types.js';
import type { Millis } from '../../../core/clock.js';
import type { Verdict } from '../../../core/verdict.js';

/** Tests disable a mechanism to show that the oracle detects its absence. */
export type Mechanism = 'enabled' | 'disabled';

export interface Mechanisms {
  /** Endpoint daemons store the fences that they confirm. */
  readonly fence: Mechanism;
  /** Entry daemons dispatch only intents that they read back as active. */
  readonly readBack: Mechanism;
  /** Entry daemons restore chains from carry-forward records after retention. */
  readonly carryForward: Mechanism;
}

export type Fault = 'none' | 'lose-request' | 'lose-answer' | 'late';

export type Command =
  | {
      readonly kind: 'request';
      readonly entry: number;
      readonly key: number;
      readonly content: number;
    }
  /** Runs one of the runnable tasks, optionally with a fault on its message. */
  | { readonly kind: 'step'; readonly pick: number; readonly fault: Fault }
  | { readonly kind: 'advance'; readonly ms: Millis }
  | { readonly kind: 'read'; readonly entry: number }
  | { readonly kind: 'pause'; readonly entry: number }
  | { readonly kind: 'resume'; readonly entry: number }
  | { readonly kind: 'restart-entry'; readonly entry: number }
  | { readonly kind: 'restart-endpoint'; readonly endpoint: number }
  | { readonly kind: 'drain-endpoint'; readonly endpoint: number }
  | { readonly kind: 'log'; readonly mode: LogMode }
  /** The oldest late append reaches the log. */
  | { readonly kind: 'deliver-late-append' }
  | { readonly kind: 'carry-forward'; readonly entry: number }
  | { readonly kind: 'prune' };

export type LogMode = 'up' | 'down' | 'lose-answers';

export interface FakeLog {
  mode: LogMode;
  readonly records: IntentStreamRecord[];
  readonly lateAppends: (readonly IntentStreamRecord[])[];
  firstOffset: number;
}

export interface EntryModel {
  readonly id: string;
  readonly skewMs: Millis;
  /** Number of restarts; tasks of an earlier epoch are dropped. */
  epoch: number;
  activity: 'running' | 'paused';
  logSeen: 'up' | 'out';
  table: IntentTable;
  readonly requests: Map<string, IntentState>;
}

export interface EndpointModel {
  readonly id: string;
  /** Incarnations so far, newest last. */
  readonly incarnations: string[];
  table: NonceTable;
  accepting: 'accepting' | 'draining';
}

export interface Task {
  /** Index of the entry daemon that runs the task; null for the network and endpoint daemons. */
  readonly owner: number | null;
  readonly epoch: number;
  readonly dueAt: Millis;
  readonly run: (fault: Fault) => void;
}

export type Reply =
  | { readonly kind: 'answer'; readonly answer: StoredAnswer }
  | { readonly kind: 'digest' }
  | { readonly kind: 'failure'; readonly verdict: Verdict; readonly code: string };

export interface Statistics {
  executions: number;
  fences: number;
  replays: number;
  intents: number;
  carried: number;
  pruned: number;
}

export interface Simulation {
  readonly mechanisms: Mechanisms;
  now: Millis;
  sequence: number;
  readonly log: FakeLog;
  /** Table that contains every record, from which the prune command finds the records to keep. */
  readonly observer: IntentTable;
  readonly entries: readonly EntryModel[];
  readonly endpoints: readonly EndpointModel[];
  readonly tasks: Task[];
  readonly owners: Map<Nonce, string>;
  readonly executedNonces: Set<Nonce>;
  readonly executionsByKey: Map<string, number>;
  readonly keyOfRequest: Map<string, string>;
  readonly replies: Map<string, Reply>;
  readonly violations: string[];
  readonly statistics: Statistics;
}
