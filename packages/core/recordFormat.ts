import { createFailure } from './verdict.js';
import type { Failure } from './verdict.js';

const readFormat = (json: unknown): unknown =>
  typeof json === 'object' && json !== null && 'format' in json ? json.format : undefined;

/**
 * Checks the format number of a log record. Call it before reading other fields, because their
 * meaning depends on the format.
 *
 * @param json - parsed JSON of the record
 * @param supported - format number that this version supports
 * @param recordName - name of the record in the failure message
 * @returns a failure with code `unsupported-format`, or null for a supported or absent format
 */
export const checkRecordFormat = (
  json: unknown,
  supported: number,
  recordName: string,
): Failure | null => {
  const format = readFormat(json);
  if (typeof format !== 'number' || format === supported) return null;
  const message = `${recordName}: field "format": format ${format.toString()} is unknown; this process reads ${supported.toString()}`;
  return createFailure('not-run', 'unsupported-format', message);
};
