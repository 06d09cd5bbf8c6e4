import { EVENT_CATALOGUE } from './catalogue.js';
import type { EventName } from './catalogue.js';
import { EVENT_RING_CAPACITY, MAX_EVENT_TEXT_LENGTH } from './constants.js';
import type { EventDetails, LoggedEvent, ProcessRole } from './types.js';
import type { Clock } from '../clock.js';
import type { Incarnation } from '../ids.js';
import { limitText } from '../limitText.js';

/** Log of the events of one process. */
export interface EventLog {
  /** Stores an event in the ring buffer and passes it to the writer. */
  readonly record: (name: EventName, details?: EventDetails) => void;
  /** Lists the buffered events from a sequence number on, oldest first. */
  readonly list: (fromSequence?: number) => readonly LoggedEvent[];
}

export interface EventLogOptions {
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly write: (event: LoggedEvent) => void;
  /** Number of events in the ring buffer. */
  readonly capacity?: number;
}

type EventValue = NonNullable<EventDetails['data']>[string];

const limitValue = (value: EventValue): EventValue => {
  if (typeof value === 'string') return limitText(value, MAX_EVENT_TEXT_LENGTH);
  if (typeof value !== 'object') return value;
  return value.map((text) => limitText(text, MAX_EVENT_TEXT_LENGTH));
};

/** Limits what callers and endpoints choose, since the buffered events outlive their requests. */
const limitDetails = (details: EventDetails): EventDetails => {
  const { data, requestId } = details;
  return {
    ...details,
    ...(requestId === undefined ? {} : { requestId: limitText(requestId, MAX_EVENT_TEXT_LENGTH) }),
    ...(data === undefined
      ? {}
      : {
          data: Object.fromEntries(
            Object.entries(data).map(([name, value]) => [name, limitValue(value)]),
          ),
        }),
  };
};

/**
 * Creates the event log of a process: a bounded ring buffer for the time line, and a writer for the
 * log output.
 *
 * @param options - identity, clock and writer of the process
 * @returns the event log
 */
export const createEventLog = (options: EventLogOptions): EventLog => {
  const capacity = options.capacity ?? EVENT_RING_CAPACITY;
  const ring: LoggedEvent[] = [];
  let sequence = 0;
  return {
    record: (name, details = {}) => {
      const entry = EVENT_CATALOGUE[name];
      const event: LoggedEvent = {
        number: entry.number,
        name,
        level: entry.level,
        sequence,
        at: options.clock.now(),
        process: options.process,
        role: options.role,
        incarnation: options.incarnation,
        ...limitDetails(details),
      };
      ring[sequence % capacity] = event;
      sequence += 1;
      options.write(event);
    },
    list: (fromSequence = 0) => {
      const first = Math.max(fromSequence, sequence - capacity, 0);
      const events: LoggedEvent[] = [];
      for (let index = first; index < sequence; index += 1) {
        events.push(ring[index % capacity] as LoggedEvent);
      }
      return events;
    },
  };
};
