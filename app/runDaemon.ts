import { describeProblems } from './checkSettings.js';
import { EXIT_CODES } from './exitCodes.js';
import { printOutcome } from './output.js';
import { serveUntilSignal } from './serving.js';
import type { Serving, ServingFlags } from './serving.js';
import { loadSettings } from '../packages/settings/load.js';
import type { SettingsByKind, SettingsKind } from '../packages/settings/types.js';

/** A started daemon, which tells why it ended. */
export interface RunningDaemon extends Serving {
  readonly ended: Promise<{ readonly kind: 'drained' | 'fault' }>;
}

/**
 * Runs a daemon until SIGINT or SIGTERM, or ends with the exit code for bad settings. After a fault
 * the process ends with the code for faults, and the platform replaces it.
 *
 * @param kind - which daemon
 * @param file - its settings file
 * @param startDaemon - starts it with checked settings
 * @param flags - form of the addresses, and what ends the process
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
  const daemon = await startDaemon(settings.value);
  await serveUntilSignal(`${kind} daemon`, daemon, flags);
  const reason = await daemon.ended;
  // A connection that a peer keeps open would otherwise keep the process alive.
  process.exit(reason.kind === 'fault' ? EXIT_CODES.internal.code : undefined);
};
