import type { ProcessLog } from './types.js';
import type { EventDetails, LoggedEvent } from '../core/events/types.js';

/**
 * Builds an event for a test.
 *
 * @param process - name of the process
 * @param sequence - sequence number within the process
 * @param at - time on the process's clock
 * @param details - optional fields of the event
 * @param name - name of the event
 * @returns the event
 */
export const buildEvent = (
  process: string,
  sequence: number,
  at: number,
  details: EventDetails = {},
  name: LoggedEvent['name'] = 'request-received',
): LoggedEvent => ({
  number: 2001,
  name,
  level: 'info',
  sequence,
  at,
  process,
  role: 'entry',
  incarnation: '1',
  ...details,
});

/**
 * Builds the log of a process for a test.
 *
 * @param process - name of the process
 * @param events - events of the process
 * @returns the log
 */
export const buildLog = (process: string, events: readonly LoggedEvent[]): ProcessLog => ({
  process,
  role: 'entry',
  incarnation: '1',
  events,
});
