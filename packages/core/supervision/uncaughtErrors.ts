import { decideRestart } from './restart.js';
import type { RestartHistory } from './restart.js';
import type { RestartIntensity } from './types.js';

/** Errors within this time that show a defect which comes again and again, not one odd input. */
const INTENSITY: RestartIntensity = { restarts: 10, withinMs: 60_000 };

/** Name of the event loop among the children of the process. */
const CHILD = 'event loop';

/** What a process does about errors that nothing catches. */
export interface UncaughtErrorOptions {
  /** Receives each error. */
  readonly onError: (error: unknown) => void;
  /** Called at each error beyond the intensity; the process should end in order. */
  readonly onTooMany: () => void;
}

/**
 * Keeps a daemon running when an error is thrown or rejected where nothing catches it. It would end the
 * process with all open requests, although the states of the supervisor tree are changed only by the
 * event loop, which has handlers of its own.
 *
 * @param options - handlers of the errors
 * @returns a function that tells whether there have been more errors than the intensity allows
 */
export const handleUncaughtErrors = ({
  onError,
  onTooMany,
}: UncaughtErrorOptions): (() => 'few' | 'too-many') => {
  let history: RestartHistory = [];
  let errors: 'few' | 'too-many' = 'few';
  process.on('uncaughtException', (error) => {
    onError(error);
    const now = performance.now();
    const names = [CHILD];
    const result = decideRestart('permanent', 'one-for-one', names, CHILD, INTENSITY, history, now);
    history = result.history;
    if (result.decision.kind !== 'escalate') return;
    errors = 'too-many';
    onTooMany();
  });
  return () => errors;
};
