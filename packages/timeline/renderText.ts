import type { MergedEvent } from './types.js';
import type { LoggedEvent } from '../core/events/types.js';

type DataValue = NonNullable<LoggedEvent['data']>[string];

const formatValue = (value: DataValue): string => {
  if (typeof value === 'object') return `[${value.join('; ')}]`;
  return typeof value === 'string' && /\s/.test(value) ? JSON.stringify(value) : String(value);
};

/**
 * Formats a point in time. A number outside the range of dates, as a virtual clock can produce, is
 * formatted as a number.
 *
 * @param at - milliseconds since the epoch
 * @returns ISO 8601 time, or the number as a string
 */
export const formatTime = (at: number): string => {
  const date = new Date(at);
  return Number.isNaN(date.getTime()) ? at.toString() : date.toISOString();
};

/**
 * Describes an event by its name and fields, without its process and time.
 *
 * @param event - event
 * @returns the description on one line
 */
export const describeEvent = (event: LoggedEvent): string => {
  const position = event.position;
  const fields: readonly (readonly [string, DataValue | undefined])[] = [
    ['request', event.requestId],
    ['endpoint', event.endpoint],
    ['data-centre', event.dataCentre],
    ['entity', event.entity],
    ['log', position && `${position.stream}@${position.offset.toString()}`],
    ['sent', event.sent],
    ['received', event.received],
    ...Object.entries(event.data ?? {}),
  ];
  const parts = fields.flatMap(([name, value]) =>
    value === undefined ? [] : [`${name}=${formatValue(value)}`],
  );
  return [event.name, ...parts].join(' ');
};

const formatCauses = ({ causes }: MergedEvent): string =>
  causes.length === 0
    ? ''
    : ` after ${causes.map(({ order, kind }) => `#${order.toString()} (${kind})`).join(', ')}`;

/**
 * Renders merged events as text, one line each.
 *
 * @param events - events in merged order
 * @returns lines with order, estimated time, process, name, fields and causes
 */
export const renderTimelineText = (events: readonly MergedEvent[]): string => {
  const width = events.reduce((longest, { event }) => Math.max(longest, event.process.length), 0);
  return events
    .map((merged) => {
      const { event, order, estimatedAt } = merged;
      const position = `#${order.toString()}`.padEnd(7);
      const process = event.process.padEnd(width);
      const text = `${describeEvent(event)}${formatCauses(merged)}`;
      return `${position} ${formatTime(estimatedAt)} ${process} ${text}\n`;
    })
    .join('');
};
