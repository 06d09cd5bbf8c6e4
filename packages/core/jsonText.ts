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

/** Names the offset, which the messages of JSON.parse leave out in most cases. */
const describeError = (text: string, reason: string): string => {
  // The second parser recurses, so a deeply nested text exhausts its stack.
  const found = Result.wrap(() => findFirstError(text)).unwrapOr(undefined);
  if (found === undefined) return `malformed JSON: ${reason}`;
  const name = printParseErrorCode(found.error);
  return `malformed JSON at offset ${found.offset.toString()}: ${name}`;
};

/**
 * Parses a JSON text.
 *
 * @param text - the text
 * @returns the value, or a sentence that names the offset in characters of the first error
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
 * Parses JSON in UTF-8.
 *
 * @param bytes - the encoded text
 * @returns the value, or a sentence that names the offset of the first error: in bytes when the
 *   bytes are not UTF-8, else in characters
 */
export const parseJsonBytes = (bytes: Uint8Array): Result<unknown, string> => {
  const text = Buffer.from(bytes).toString('utf8');
  if (isUtf8(bytes)) return parseJsonText(text);
  return Err(`malformed UTF-8 at offset ${findInvalidByteOffset(bytes, text).toString()}`);
};
