import type { LeaseAppend } from './types.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { ClockReading, ObservedLease, OwnLease } from '../../decisions/leases/lease.js';
import type { FixedWindow, UsageTimes, WindowNumber } from '../../decisions/usage/types.js';
import type { UsageTable } from '../../decisions/usage/usageTable.js';
import type { FeedPosition } from '../types.js';

/** How the use of the system is reported. */
export interface UsageSettings extends UsageTimes {
  readonly leaseMs: Millis;
}

export interface UsageInputs {
  readonly clock: Clock;
  readonly wallClock: Clock;
  /** Name and host of this daemon. */
  readonly self: { readonly process: string; readonly host: string };
  /** Null when no usage has to be reported. */
  readonly settings: UsageSettings | null;
  /** Creates the identity of an incarnation of the child. */
  readonly createIncarnation: () => string;
  /** Lists the hosts of the other daemons that are heard of. */
  readonly listHosts: () => readonly string[];
  /** Chooses the hosts of the daemons that watch the lease. */
  readonly chooseCandidates: (hosts: readonly string[]) => readonly string[];
  readonly getPhase: () => 'serving' | 'draining';
  /** Counts by window; they outlive the state of the child. */
  readonly table: UsageTable;
  /** Counts that were fixed, as this process has seen them; a restored store may lack some. */
  readonly fixed: Map<WindowNumber, FixedWindow>;
}

/** What a daemon that watches the lease knows of it. */
export interface Watch {
  /** Instant of the first answer. */
  readonly since: Millis;
  readonly readAt: Millis;
  readonly known: ObservedLease | null;
  readonly position: FeedPosition;
}

/** Call of the log that is not answered; there is one at a time. */
export type LeaseCall =
  | { readonly kind: 'load' }
  | { readonly kind: 'append'; readonly sentAt: ClockReading; readonly append: LeaseAppend };

export interface UsageState {
  readonly startedAt: Millis;
  readonly incarnation: string;
  /** Null while another daemon watches the lease instead of this one. */
  readonly watch: Watch | null;
  readonly own: OwnLease | null;
  /** Number of the newest record that this incarnation sent, and of the newest confirmed one. */
  readonly sequence: number;
  readonly confirmedSequence: number;
  /** Reading before the oldest append that was not confirmed; null without one. */
  readonly unconfirmedFrom: ClockReading | null;
  readonly call: LeaseCall | null;
  readonly callAfter: Millis;
  readonly reportedThrough: WindowNumber | null;
  /** Window whose report is not answered; null without one. */
  readonly reporting: WindowNumber | null;
  readonly reportAfter: Millis;
  /** Number of the newest message with counts, and when it was sent. */
  readonly messages: number;
  readonly sentAt: Millis;
}

/** Settings and clocks of one decision. */
export interface UsageContext {
  readonly inputs: UsageInputs;
  readonly settings: UsageSettings;
  readonly now: ClockReading;
  /** Window of the present. */
  readonly current: WindowNumber;
}
