import { Ok } from 'ts-results-es';
import type { CommandOutcome } from './output.js';
import { findSettingsKind, loadSettings } from '../packages/settings/load.js';
import type { SettingsKind, SettingsProblem } from '../packages/settings/types.js';

const formatProblem = (file: string, problem: SettingsProblem): string => {
  const place = `${file}:${problem.line.toString()}:${problem.column.toString()}`;
  const path = problem.path === '' ? '' : ` ${problem.path}:`;
  return `${place}:${path} ${problem.expected}`;
};

/**
 * Describes a settings file that was refused.
 *
 * @param file - path of the file
 * @param problems - its faults
 * @returns the outcome for bad settings
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
 * Checks a settings file and starts nothing.
 *
 * @param file - path of the file
 * @param given - daemon that the file is for; found from its fields when not given
 * @returns the outcome of the check
 */
export const checkSettings = (file: string, given?: SettingsKind): CommandOutcome => {
  const kind = given === undefined ? findSettingsKind(file) : Ok(given);
  if (kind.isErr()) return describeProblems(file, kind.error);
  const settings = loadSettings(file, kind.value);
  if (settings.isErr()) return describeProblems(file, settings.error);
  return {
    kind: 'done',
    text: `${file}: valid settings of an ${kind.value} daemon`,
    data: { file, valid: 'yes', kind: kind.value, problems: [] },
  };
};
