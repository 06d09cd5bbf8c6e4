import type { Millis } from '../core/clock.js';
import type { LoggedEvent, ProcessRole } from '../core/events/types.js';
import type { Incarnation } from '../core/ids.js';

/** Events of one incarnation of a process, as `/debug/events` gives them. */
export interface ProcessLog {
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
  readonly events: readonly LoggedEvent[];
}

/** What puts one event before another. */
export type CauseKind = 'sequence' | 'message' | 'append' | 'offset';

/** An event of another process that must come first. */
export interface Cause {
  /** `order` of the earlier event. */
  readonly order: number;
  readonly kind: Extract<CauseKind, 'message' | 'append'>;
}

/** One event with its place in the merged order. */
export interface MergedEvent {
  /** Place in the merged order, from 0. */
  readonly order: number;
  readonly event: LoggedEvent;
  /** The process's clock reading, corrected by the estimated offset of its clock. */
  readonly estimatedAt: Millis;
  readonly causes: readonly Cause[];
}

/** Which events are shown; all given fields must match. */
export interface EventSelection {
  readonly requestId?: string;
  readonly endpoint?: string;
  readonly dataCentre?: string;
  readonly entity?: string;
}
