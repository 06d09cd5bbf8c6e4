import type { StreamEvent } from './eventSplitter.js';

/** Events of a stream up to the first one that does not belong there. */
export interface OrderedEvents {
  readonly events: readonly StreamEvent[];
  /** Why the next event does not belong to the stream; null when all do. */
  readonly fault: string | null;
}

/** Progress of a stream, against which its next events are checked. */
export interface StreamProgress {
  /** Id of the last event; null before the first. */
  readonly lastEventId: string | null;
  /** Number of events that the stream may still have; null when its length is unknown. */
  readonly eventsLeft: number | null;
}

const toNumber = (id: string | null): number => (id === null ? NaN : Number(id));

/**
 * Checks that the ids of a stream's events increase, and that there are not more events than the
 * request allows. Other bytes between blank lines are no part of the answer.
 *
 * @param events - events in the order in which they were received
 * @param progress - events before them
 * @returns the events before the first fault
 */
export const checkEventOrder = (
  events: readonly StreamEvent[],
  { eventsLeft, lastEventId }: StreamProgress,
): OrderedEvents => {
  let last = lastEventId === null ? -Infinity : toNumber(lastEventId);
  for (const [index, { id }] of events.entries()) {
    const number = toNumber(id);
    const endBefore = (fault: string): OrderedEvents => ({ events: events.slice(0, index), fault });
    if (!Number.isFinite(number)) return endBefore('an event has no id');
    if (number <= last) return endBefore('the ids of the events do not increase');
    if (eventsLeft !== null && index >= eventsLeft)
      return endBefore('the stream is longer than the request allows');
    last = number;
  }
  return { events, fault: null };
};
