import type { Millis } from '../clock.js';

/**
 * Priority of an event when the queue fills up: new requests of callers are shed first, then load
 * reports; completions and control events are always queued.
 */
export type QueueClass = 'new-request' | 'report' | 'completion' | 'control';

export type PostResult = 'queued' | 'shed';

export interface Timer {
  readonly cancel: () => void;
}

/** Event queue whose events are handled one at a time on the process's only thread. */
export interface Loop<Event> {
  /** Adds an event to the queue, or sheds it when the queue is too full for its class. */
  readonly post: (event: Event) => PostResult;
  /** Posts an event after a delay in milliseconds; a negative delay counts as 0. */
  readonly schedule: (delay: Millis, event: Event) => Timer;
  /**
   * Reports whether a timer was late just now, because the process was busy or paused: what arrived
   * meanwhile is read in no particular order.
   */
  readonly isLate: () => boolean;
  /** Returns the number of queued events. */
  readonly getDepth: () => number;
  /** Drops the queued events, cancels all timers and accepts no further events. */
  readonly stop: () => void;
}

/** A timer that came late, and what the process did meanwhile. */
export interface LoopLateness {
  readonly lateMs: Millis;
  /** Processor time of all threads of the process in the last `sinceMs`. */
  readonly processorMs: Millis;
  readonly sinceMs: Millis;
}

export interface LoopOptions<Event> {
  /** Number of queued events from which load reports are shed. */
  readonly capacity: number;
  readonly classify: (event: Event) => QueueClass;
  readonly handle: (event: Event) => void;
  /** Receives an exception that `handle` threw, which no supervisor handled. */
  readonly onFault: (error: unknown) => void;
  /** Receives a report on a late timer, once a second at most. */
  readonly onLate?: (lateness: LoopLateness) => void;
}
