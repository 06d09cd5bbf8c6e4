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
 * Parses and validates the content of a scenario file and fills in the defaults.
 *
 * @param text - JSON with comments
 * @returns the scenario, or every problem with its location
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
 * Reads and validates a scenario file.
 *
 * @param path - path of the file, which holds JSON with comments
 * @returns the scenario, or every problem with its location
 * @throws Error when the file cannot be read
 */
export const loadScenario = (path: string): Result<Scenario, readonly SettingsProblem[]> =>
  parseScenario(readFileSync(path, 'utf8'));
