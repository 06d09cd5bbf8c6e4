import type { LoggedEvent } from '../core/events/types.js';

/**
 * Reads a field of an event's data as a string. The items of a list are joined with "; ".
 *
 * @param event - event
 * @param name - name of the field
 * @returns the string, or undefined when the event does not have the field
 */
export const readString = (event: LoggedEvent, name: string): string | undefined => {
  const value = event.data?.[name];
  if (value === undefined) return undefined;
  return typeof value === 'object' ? value.join('; ') : String(value);
};

/**
 * Reads a field of an event's data as a number.
 *
 * @param event - event
 * @param name - name of the field
 * @returns the number, or undefined when the field is missing or not a number
 */
export const readNumber = (event: LoggedEvent, name: string): number | undefined => {
  const value = event.data?.[name];
  return typeof value === 'number' ? value : undefined;
};

/**
 * Reads a field of an event's data as a list.
 *
 * @param event - event
 * @param name - name of the field
 * @returns the items; a single value becomes a list of one, a missing field an empty list
 */
export const readList = (event: LoggedEvent, name: string): readonly string[] => {
  const value = event.data?.[name];
  if (value === undefined) return [];
  return typeof value === 'object' ? value : [String(value)];
};
