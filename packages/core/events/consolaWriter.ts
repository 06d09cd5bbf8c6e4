import { createConsola } from 'consola';
import type { LoggedEvent } from './types.js';

/** Output format: one JSON line per event, or a short human-readable line for a terminal. */
export type LogFormat = 'json' | 'text';

const formatText = (event: LoggedEvent): string => {
  const request = event.requestId === undefined ? '' : ` request=${event.requestId}`;
  const data = event.data === undefined ? '' : ` ${JSON.stringify(event.data)}`;
  return `${event.process} ${event.number.toString()} ${event.name}${request}${data}`;
};

/**
 * Creates a writer that logs events to standard error, so that standard output stays free for data.
 *
 * @param format - format of each line
 * @returns the writer
 */
export const createConsolaWriter = (format: LogFormat): ((event: LoggedEvent) => void) => {
  const consola = createConsola({
    level: 3,
    reporters: [
      {
        log: (entry) => {
          process.stderr.write(`${String(entry.args[0])}\n`);
        },
      },
    ],
  });
  return (event) => {
    const line = format === 'json' ? JSON.stringify(event) : formatText(event);
    consola[event.level](line);
  };
};
