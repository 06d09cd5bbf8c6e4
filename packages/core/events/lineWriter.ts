import type { Writable } from 'node:stream';
import { createConsola } from 'consola/basic';
import type { LoggedEvent } from './types.js';
import type { Clock, Millis } from '../clock.js';

/** Largest number of lines per event name and window; further lines are dropped and counted. */
const MAX_LINES_PER_WINDOW = 200;

const WINDOW_MS: Millis = 1_000;

/** Bytes buffered for a slow reader; above this limit, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Warnings and errors are never rate limited, because they explain failed requests. */
const isExemptFromRateLimit = (event: LoggedEvent): boolean =>
  event.level === 'warn' || event.level === 'error';

interface RateLimitWindow {
  startedAt: Millis;
  written: number;
  leftOut: number;
}

/**
 * Creates a writer of events as JSON lines. It never blocks: it drops lines above the rate limit of
 * their event name, and all lines while the buffer for a slow reader is full. The next line with
 * the same event name reports the number of dropped lines in `leftOut`.
 *
 * @param output - stream to write to, usually standard output
 * @param clock - clock of the rate-limit windows
 * @returns the writer
 */
export const createLineWriter = (
  output: Writable,
  clock: Clock,
): ((event: LoggedEvent) => void) => {
  const windows = new Map<string, RateLimitWindow>();
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

  const findWindow = (name: string): RateLimitWindow => {
    const now = clock.now();
    const current = windows.get(name);
    if (current !== undefined && now - current.startedAt < WINDOW_MS) return current;
    const next = { startedAt: now, written: 0, leftOut: current?.leftOut ?? 0 };
    windows.set(name, next);
    return next;
  };

  return (event) => {
    const window = findWindow(event.name);
    const isRateLimited = window.written >= MAX_LINES_PER_WINDOW && !isExemptFromRateLimit(event);
    if (isRateLimited || output.writableLength > MAX_BUFFERED_BYTES) {
      window.leftOut += 1;
      return;
    }
    window.written += 1;
    const { leftOut } = window;
    window.leftOut = 0;
    consola[event.level](JSON.stringify(leftOut === 0 ? event : { ...event, leftOut }));
  };
};
