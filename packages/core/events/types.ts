import type { EventName } from './catalogue.js';
import type { Millis } from '../clock.js';
import type { EndpointId, Incarnation, Offset, RequestId } from '../ids.js';

export type ProcessRole = 'entry' | 'endpoint';

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Entry of the event catalogue. */
export interface CatalogueEntry {
  readonly number: number;
  readonly level: EventLevel;
  /** When the event is logged; published in docs/EVENTS.md. */
  readonly text: string;
}

/** Position of the record, in a stream of the platform's log, that an event depends on. */
export interface LogPosition {
  readonly stream: string;
  readonly offset: Offset;
}

/** Details supplied with an event; the event log adds the time, sequence number and process. */
export interface EventDetails {
  readonly requestId?: RequestId;
  readonly endpoint?: EndpointId;
  readonly dataCentre?: string;
  /** Name of a version move, class, customer or other configuration record. */
  readonly entity?: string;
  readonly position?: LogPosition;
  /** Id of the message that this process sent with this event. */
  readonly sent?: string;
  /** Id of the received message that caused this event. */
  readonly received?: string;
  readonly data?: Readonly<Record<string, string | number | boolean | readonly string[]>>;
}

/** A log event with its catalogue number and the process that recorded it. */
export interface LoggedEvent extends EventDetails {
  readonly number: number;
  readonly name: EventName;
  readonly level: EventLevel;
  /** Sequence number within this process, from 0. */
  readonly sequence: number;
  /** Time on the process's own clock; not comparable between processes. */
  readonly at: Millis;
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
}
