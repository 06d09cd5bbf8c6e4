import { readFileSync } from 'node:fs';
import { getNodeValue, parseTree } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { SCENARIO_SCHEMA } from './schema.js';
import type { Scenario } from './types.js';
import { describeIssues, describeSyntaxErrors } from '../../settings/problems.js';
import type { SettingsProblem } from '../../settings/types.js';

/**
 * Checks the text of a scenario file and fills in its defaults.
 *
 * @param text - JSON with comments
 * @returns the scenario, or every problem with its place
 */
export const parseScenario = (text: string): Result<Scenario, readonly SettingsProblem[]> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (root === undefined || errors.length > 0) return Err(describeSyntaxErrors(errors, text));
  const parsed = SCENARIO_SCHEMA.safeParse(getNodeValue(root));
  if (!parsed.success) return Err(describeIssues(parsed.error.issues, text, root));
  return Ok(parsed.data);
};

/**
 * Reads and checks a scenario file.
 *
 * @param path - file of JSON with comments
 * @returns the scenario, or every problem with its place
 * @throws Error when the file cannot be read
 */
export const loadScenario = (path: string): Result<Scenario, readonly SettingsProblem[]> =>
  parseScenario(readFileSync(path, 'utf8'));
