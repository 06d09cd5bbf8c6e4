import type { Millis } from '../clock.js';

/**
 * Importance of an event when the queue is full: new requests of callers are shed first, then load
 * reports; completions and control events are always kept.
 */
export type QueueClass = 'new-request' | 'report' | 'completion' | 'control';

export type PostResult = 'queued' | 'shed';

export interface Timer {
  readonly cancel: () => void;
}

/** Queue of events that are handled one at a time on the process's only thread. */
export interface Loop<Event> {
  /** Adds an event to the queue, or sheds it when the queue is too full for its class. */
  readonly post: (event: Event) => PostResult;
  /** Posts an event after a delay. */
  readonly schedule: (delay: Millis, event: Event) => Timer;
  /** Number of events that wait. */
  readonly getDepth: () => number;
  /** Drops waiting events and accepts no more. */
  readonly stop: () => void;
}

export interface LoopOptions<Event> {
  /** Largest number of waiting events before reports are shed. */
  readonly capacity: number;
  readonly classify: (event: Event) => QueueClass;
  readonly handle: (event: Event) => void;
  /** Receives an exception that no supervisor handled. */
  readonly onFault: (error: unknown) => void;
}
