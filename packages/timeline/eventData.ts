import type { LoggedEvent } from '../core/events/types.js';

/**
 * Reads one field of an event's data as text.
 *
 * @param event - event
 * @param name - field
 * @returns the text, or nothing when the event lacks the field
 */
export const readString = (event: LoggedEvent, name: string): string | undefined => {
  const value = event.data?.[name];
  if (value === undefined) return undefined;
  return typeof value === 'object' ? value.join('; ') : String(value);
};

/**
 * Reads one field of an event's data as a number.
 *
 * @param event - event
 * @param name - field
 * @returns the number, or nothing when the event has no number there
 */
export const readNumber = (event: LoggedEvent, name: string): number | undefined => {
  const value = event.data?.[name];
  return typeof value === 'number' ? value : undefined;
};

/**
 * Reads one field of an event's data as a list.
 *
 * @param event - event
 * @param name - field
 * @returns the items; a single text is a list of one
 */
export const readList = (event: LoggedEvent, name: string): readonly string[] => {
  const value = event.data?.[name];
  if (value === undefined) return [];
  return typeof value === 'object' ? value : [String(value)];
};
