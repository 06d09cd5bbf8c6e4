import type { EventName } from './catalogue.js';
import type { Millis } from '../clock.js';
import type { EndpointId, Incarnation, Offset, RequestId } from '../ids.js';

export type ProcessRole = 'entry' | 'endpoint';

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Position in a stream of the platform's log that an event depends on. */
export interface LogPosition {
  readonly stream: string;
  readonly offset: Offset;
}

/** What a process tells about an event; the log adds time, sequence and process. */
export interface EventDetails {
  readonly requestId?: RequestId;
  readonly endpoint?: EndpointId;
  readonly dataCentre?: string;
  /** Name of a move, a class, a customer or another record of the configuration. */
  readonly entity?: string;
  readonly position?: LogPosition;
  /** Id of a message that left this process with this event. */
  readonly sent?: string;
  /** Id of a message whose arrival caused this event. */
  readonly received?: string;
  readonly data?: Readonly<Record<string, string | number | boolean | readonly string[]>>;
}

/** One numbered event of one process. */
export interface LoggedEvent extends EventDetails {
  readonly number: number;
  readonly name: EventName;
  readonly level: EventLevel;
  /** Position in this process's own sequence, from 0. */
  readonly sequence: number;
  /** The process's own clock; not comparable between processes. */
  readonly at: Millis;
  readonly process: string;
  readonly role: ProcessRole;
  readonly incarnation: Incarnation;
}
