import type { Millis } from '../core/clock.js';
import type { LoggedEvent, ProcessRole } from '../core/events/types.js';
import type { Incarnation } from '../core/ids.js';

/** Events of one incarnation of a process, as returned by `/debug/events`. */
export interface ProcessLog {
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
  readonly events: readonly LoggedEvent[];
}

/** Reason why one event precedes another. */
export type CauseKind = 'sequence' | 'message' | 'append' | 'offset';

/** An event of another process that precedes this one. */
export interface Cause {
  /** `order` of the earlier event. */
  readonly order: number;
  readonly kind: Extract<CauseKind, 'message' | 'append'>;
}

/** An event with its position in the merged order. */
export interface MergedEvent {
  /** Position in the merged order, from 0. */
  readonly order: number;
  readonly event: LoggedEvent;
  /** Time on the process's own clock minus the estimated offset of that clock. */
  readonly estimatedAt: Millis;
  readonly causes: readonly Cause[];
}

/** Filter on events; an event must match every field that is set. */
export interface EventSelection {
  readonly requestId?: string;
  readonly endpoint?: string;
  readonly dataCentre?: string;
  readonly entity?: string;
}
