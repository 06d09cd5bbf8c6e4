import { isUtf8 } from 'node:buffer';
import { parse, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import { Err, Result } from 'ts-results-es';

const findFirstError = (text: string): ParseError | undefined => {
  const errors: ParseError[] = [];
  const options = { disallowComments: true, allowTrailingComma: false, allowEmptyContent: false };
  parse(text, errors, options);
  return errors[0];
};

/** Adds the offset of the first error, which most messages of `JSON.parse` lack. */
const describeError = (text: string, reason: string): string => {
  // The second parser is recursive, so deeply nested input overflows the stack.
  const found = Result.wrap(() => findFirstError(text)).unwrapOr(undefined);
  if (found === undefined) return `malformed JSON: ${reason}`;
  const name = printParseErrorCode(found.error);
  return `malformed JSON at offset ${found.offset.toString()}: ${name}`;
};

/**
 * Parses JSON text.
 *
 * @param text - JSON to parse
 * @returns the value, or an error message with the offset of the first error in characters
 */
export const parseJsonText = (text: string): Result<unknown, string> => {
  const parsed = Result.wrap((): unknown => JSON.parse(text));
  if (parsed.isOk()) return parsed;
  const { error } = parsed;
  return Err(describeError(text, error instanceof Error ? error.message : String(error)));
};

const findInvalidByteOffset = (bytes: Uint8Array, text: string): number => {
  const reencoded = new TextEncoder().encode(text);
  const offset = bytes.findIndex((byte, index) => byte !== reencoded[index]);
  return offset < 0 ? bytes.length : offset;
};

/**
 * Parses UTF-8 encoded JSON.
 *
 * @param bytes - encoded JSON
 * @returns the value, or an error message with the offset of the first error: in bytes when the
 *   input is not valid UTF-8, otherwise in characters
 */
export const parseJsonBytes = (bytes: Uint8Array): Result<unknown, string> => {
  const text = Buffer.from(bytes).toString('utf8');
  if (isUtf8(bytes)) return parseJsonText(text);
  return Err(`malformed UTF-8 at offset ${findInvalidByteOffset(bytes, text).toString()}`);
};
