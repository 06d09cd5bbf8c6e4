import { readFileSync } from 'node:fs';
import { getNodeValue, parseTree } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ENDPOINT_SCHEMA } from './endpointSchema.js';
import { ENTRY_SCHEMA } from './entrySchema.js';
import { describeIssues, describeSyntaxErrors } from './problems.js';
import type { SettingsByKind, SettingsKind, SettingsProblem } from './types.js';
import { assertNever } from '../core/assertNever.js';

type SettingsProblems = readonly SettingsProblem[];

const validateWithSchema = (kind: SettingsKind, value: unknown) => {
  switch (kind) {
    case 'entry':
      return ENTRY_SCHEMA.safeParse(value);
    case 'endpoint':
      return ENDPOINT_SCHEMA.safeParse(value);
    default:
      return assertNever(kind);
  }
};

const readText = (path: string): Result<string, SettingsProblems> => {
  try {
    return Ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err([
      { path: '', line: 1, column: 1, expected: `expected a readable file (${reason})` },
    ]);
  }
};

interface ParsedText {
  readonly text: string;
  readonly root: Node | undefined;
  readonly value: unknown;
}

const parseText = (text: string): Result<ParsedText, SettingsProblems> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) return Err(describeSyntaxErrors(errors, text));
  return Ok({ text, root, value: root === undefined ? undefined : getNodeValue(root) });
};

/**
 * Validates the text of a settings file and fills in defaults.
 *
 * @param text - JSON with comments
 * @param kind - kind of daemon that the file is for
 * @returns the settings, or every problem with its position
 */
export const parseSettings = <Kind extends SettingsKind>(
  text: string,
  kind: Kind,
): Result<SettingsByKind[Kind], SettingsProblems> =>
  parseText(text).andThen(({ root, value }) => {
    const parsed = validateWithSchema(kind, value);
    if (!parsed.success) return Err(describeIssues(parsed.error.issues, text, root));
    return Ok(parsed.data as SettingsByKind[Kind]);
  });

/**
 * Reads a file of JSON with comments without validating it against a schema.
 *
 * @param path - path of the file
 * @returns the value, or the problems of a file that cannot be read or parsed
 */
export const loadJson = (path: string): Result<unknown, SettingsProblems> =>
  readText(path)
    .andThen(parseText)
    .map(({ value }) => value);

/**
 * Reads and validates a settings file. It has no other effect: no address is opened.
 *
 * @param path - path of a file of JSON with comments
 * @param kind - kind of daemon that the file is for
 * @returns the settings with all defaults, or every problem with field path, line and column
 */
export const loadSettings = <Kind extends SettingsKind>(
  path: string,
  kind: Kind,
): Result<SettingsByKind[Kind], SettingsProblems> =>
  readText(path).andThen((text) => parseSettings(text, kind));

/**
 * Determines the kind of daemon that a settings file is for.
 *
 * @param path - path of a file of JSON with comments
 * @returns the kind, or the problems of a file that cannot be read or parsed, or that fits neither
 *   daemon
 */
export const findSettingsKind = (path: string): Result<SettingsKind, SettingsProblems> =>
  loadJson(path).andThen((value) => {
    if (typeof value === 'object' && value !== null) {
      if ('target' in value || 'endpoint' in value) return Ok('endpoint');
      if ('callers' in value || 'customers' in value) return Ok('entry');
    }
    const expected = 'expected `callers` (entry daemon) or `target` (endpoint daemon)';
    return Err([{ path: '', line: 1, column: 1, expected }]);
  });
