import { findNodeAtLocation, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError, Segment } from 'jsonc-parser';
import type { z } from 'zod';
import type { SettingsProblem } from './types.js';

type Issue = z.core.$ZodIssue;
type Path = readonly Segment[];

/**
 * Converts an offset in a text to a line and a column.
 *
 * @param text - text of the file
 * @param offset - offset in characters, from 0
 * @returns the line and the column, both from 1
 */
const findPosition = (text: string, offset: number): Pick<SettingsProblem, 'line' | 'column'> => {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
};

const formatPath = (path: Path): string =>
  path.reduce<string>((text, segment) => {
    if (typeof segment === 'number') return `${text}[${segment.toString()}]`;
    return text === '' ? segment : `${text}.${segment}`;
  }, '');

/** Finds the offset of the value at a path, or of its innermost ancestor that the file contains. */
const findOffset = (root: Node | undefined, path: Path): number => {
  if (root === undefined) return 0;
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return node.offset;
  }
  return root.offset;
};

const findKeyOffset = (root: Node | undefined, path: Path): number => {
  const value = root === undefined ? undefined : findNodeAtLocation(root, [...path]);
  return value?.parent?.offset ?? findOffset(root, path);
};

const describeExpected = (issue: Issue): string => {
  if (issue.code === 'invalid_union') {
    const kinds = (issue as { options?: readonly unknown[] }).options ?? [];
    return kinds.length === 0
      ? 'expected a value of one of the allowed types'
      : `expected one of ${kinds.map((kind) => JSON.stringify(kind)).join(', ')}`;
  }
  return issue.message.replace(/^(Invalid (input|option|string): )/, '');
};

const toPath = (path: readonly PropertyKey[]): Path =>
  path.filter((segment) => typeof segment !== 'symbol');

const describeIssue = (issue: Issue, text: string, root: Node | undefined): SettingsProblem[] => {
  const path = toPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: formatPath([...path, key]),
      ...findPosition(text, findKeyOffset(root, [...path, key])),
      expected: 'expected no such field',
    }));
  }
  return [
    {
      path: formatPath(path),
      ...findPosition(text, findOffset(root, path)),
      expected: describeExpected(issue),
    },
  ];
};

/**
 * Converts schema issues to problems, in the order of their position in the file.
 *
 * @param issues - issues reported by the schema
 * @param text - text of the file
 * @param root - syntax tree of the file
 * @returns the problems, with their positions
 */
export const describeIssues = (
  issues: readonly Issue[],
  text: string,
  root: Node | undefined,
): readonly SettingsProblem[] =>
  issues
    .flatMap((issue) => describeIssue(issue, text, root))
    .sort((left, right) => left.line - right.line || left.column - right.column);

/**
 * Converts syntax errors to problems.
 *
 * @param errors - errors reported by the parser
 * @param text - text of the file
 * @returns one problem per error
 */
export const describeSyntaxErrors = (
  errors: readonly ParseError[],
  text: string,
): readonly SettingsProblem[] =>
  errors.map((error) => ({
    path: '',
    ...findPosition(text, error.offset),
    expected: `expected JSON with comments (${printParseErrorCode(error.error)})`,
  }));
