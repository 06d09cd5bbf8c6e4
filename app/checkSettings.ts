import { Ok } from 'ts-results-es';
import type { CommandOutcome } from './output.js';
import { findSettingsKind, loadSettings } from '../packages/settings/load.js';
import type { SettingsKind, SettingsProblem } from '../packages/settings/types.js';

const formatProblem = (file: string, problem: SettingsProblem): string => {
  const location = `${file}:${problem.line.toString()}:${problem.column.toString()}`;
  const path = problem.path === '' ? '' : ` ${problem.path}:`;
  return `${location}:${path} ${problem.expected}`;
};

/**
 * Builds the outcome for an invalid settings file.
 *
 * @param file - path of the file
 * @param problems - errors in the file
 * @returns a failure whose message has one line for each error
 */
export const describeProblems = (
  file: string,
  problems: readonly SettingsProblem[],
): CommandOutcome => ({
  kind: 'failed',
  reason: 'bad-settings',
  message: problems.map((problem) => formatProblem(file, problem)).join('\n'),
  data: { file, valid: 'no', problems },
});

/**
 * Validates a settings file without starting a daemon.
 *
 * @param file - path of the file
 * @param requestedKind - daemon that the file is for; detected from its fields when undefined
 * @returns the outcome of the validation
 */
export const checkSettings = (file: string, requestedKind?: SettingsKind): CommandOutcome => {
  const kind = requestedKind === undefined ? findSettingsKind(file) : Ok(requestedKind);
  if (kind.isErr()) return describeProblems(file, kind.error);
  const settings = loadSettings(file, kind.value);
  if (settings.isErr()) return describeProblems(file, settings.error);
  return {
    kind: 'done',
    text: `${file}: valid settings of an ${kind.value} daemon`,
    data: { file, valid: 'yes', kind: kind.value, problems: [] },
  };
};
