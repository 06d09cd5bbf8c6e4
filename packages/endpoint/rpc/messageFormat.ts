import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { MESSAGE_FORMAT } from '../../wire/constants.js';

/**
 * Checks the format number of a message from an entry daemon.
 *
 * @param format - format number in the message
 * @returns a `not-run` failure, or null for the format that this process reads
 */
export const checkMessageFormat = (format: number): Failure | null => {
  if (format === MESSAGE_FORMAT) return null;
  const message = `message format ${format.toString()} is unknown; this process reads ${MESSAGE_FORMAT.toString()}`;
  return createFailure('not-run', 'unsupported-format', message);
};
