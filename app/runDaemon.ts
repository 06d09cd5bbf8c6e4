import { describeProblems } from './checkSettings.js';
import { printOutcome } from './output.js';
import { serveUntilSignal } from './serving.js';
import type { Serving, ServingFlags } from './serving.js';
import { loadSettings } from '../packages/settings/load.js';
import type { SettingsByKind, SettingsKind } from '../packages/settings/types.js';

/**
 * Runs a daemon until SIGINT or SIGTERM, or ends with the exit code for bad settings.
 *
 * @param kind - which daemon
 * @param file - its settings file
 * @param startDaemon - starts it with checked settings
 * @param flags - form of the addresses, and what ends the process
 */
export const runDaemon = async <Kind extends SettingsKind>(
  kind: Kind,
  file: string,
  startDaemon: (settings: SettingsByKind[Kind]) => Promise<Serving>,
  flags: ServingFlags,
): Promise<void> => {
  const settings = loadSettings(file, kind);
  if (settings.isErr()) {
    printOutcome(describeProblems(file, settings.error), flags.json);
    return;
  }
  await serveUntilSignal(`${kind} daemon`, await startDaemon(settings.value), flags);
};
