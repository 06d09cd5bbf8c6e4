import type { Writable } from 'node:stream';
import { createConsola } from 'consola/basic';
import type { LoggedEvent } from './types.js';
import type { Clock, Millis } from '../clock.js';

/** Lines of one kind of event in a window; more are counted and left out. */
const MAX_LINES = 200;

const WINDOW_MS: Millis = 1_000;

/** Bytes that wait for a slow reader of the output; more lines are counted and left out. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Events that are written whatever their rate, as they explain failed requests. */
const isKept = (event: LoggedEvent): boolean => event.level === 'warn' || event.level === 'error';

interface LineWindow {
  startedAt: Millis;
  written: number;
  leftOut: number;
}

/**
 * Creates a writer of events as JSON lines. It never blocks: above a rate for each kind of event,
 * and while the reader of the output is slow, lines are counted and left out, and the next line of
 * the kind tells how many.
 *
 * @param output - usually the standard output
 * @param clock - time of the windows
 * @returns the writer
 */
export const createLineWriter = (
  output: Writable,
  clock: Clock,
): ((event: LoggedEvent) => void) => {
  const windows = new Map<string, LineWindow>();
  const consola = createConsola({
    level: 3,
    reporters: [
      {
        log: (entry) => {
          output.write(`${String(entry.args[0])}\n`);
        },
      },
    ],
  });

  const findWindow = (name: string): LineWindow => {
    const now = clock.now();
    const known = windows.get(name);
    if (known !== undefined && now - known.startedAt < WINDOW_MS) return known;
    const next = { startedAt: now, written: 0, leftOut: known?.leftOut ?? 0 };
    windows.set(name, next);
    return next;
  };

  return (event) => {
    const window = findWindow(event.name);
    const isOver = window.written >= MAX_LINES && !isKept(event);
    if (isOver || output.writableLength > MAX_WAITING_BYTES) {
      window.leftOut += 1;
      return;
    }
    window.written += 1;
    const { leftOut } = window;
    window.leftOut = 0;
    consola[event.level](JSON.stringify(leftOut === 0 ? event : { ...event, leftOut }));
  };
};
