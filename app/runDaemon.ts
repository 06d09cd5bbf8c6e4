import { describeProblems } from './checkSettings.js';
import { EXIT_CODES } from './exitCodes.js';
import { printOutcome } from './output.js';
import { serveUntilSignal } from './serving.js';
import type { RunningServer, ServingFlags } from './serving.js';
import { formatError } from '../packages/core/events/formatError.js';
import { handleOutputErrors } from '../packages/core/events/outputErrors.js';
import { handleUncaughtErrors } from '../packages/core/supervision/uncaughtErrors.js';
import { loadSettings } from '../packages/settings/load.js';
import type { SettingsByKind, SettingsKind } from '../packages/settings/types.js';

/** A running daemon that reports why it ended. */
export interface RunningDaemon extends RunningServer {
  readonly ended: Promise<{ readonly kind: 'drained' | 'fault' }>;
  /** Logs an error that nothing caught. */
  readonly reportError: (error: unknown) => void;
}

/** Exits explicitly, because a part that has started would keep the process without its addresses. */
const endFailedStart = (error: unknown): never => {
  process.stderr.write(`${formatError(error)}\n`);
  return process.exit(EXIT_CODES.internal.code);
};

/**
 * Runs a daemon until SIGINT or SIGTERM. Invalid settings end the process with exit code 78. After
 * an internal fault, or a start that failed, the process exits with code 70, and the platform replaces
 * it.
 *
 * @param kind - kind of daemon
 * @param file - path of its settings file
 * @param startDaemon - starts the daemon with validated settings
 * @param flags - output format, and whether the end of standard input stops the daemon
 */
export const runDaemon = async <Kind extends SettingsKind>(
  kind: Kind,
  file: string,
  startDaemon: (settings: SettingsByKind[Kind]) => Promise<RunningDaemon>,
  flags: ServingFlags,
): Promise<void> => {
  const settings = loadSettings(file, kind);
  if (settings.isErr()) {
    printOutcome(describeProblems(file, settings.error), flags.json);
    return;
  }
  handleOutputErrors([process.stdout, process.stderr]);
  const daemon = await startDaemon(settings.value).catch(endFailedStart);
  const getErrors = handleUncaughtErrors({
    onError: daemon.reportError,
    onTooMany: () => {
      void daemon.stop();
    },
  });
  await serveUntilSignal(`${kind} daemon`, daemon, flags);
  const reason = await daemon.ended;
  // Exits explicitly, because a connection that a peer holds open would keep the process alive.
  const isFault = reason.kind === 'fault' || getErrors() === 'too-many';
  process.exit(isFault ? EXIT_CODES.internal.code : undefined);
};
