import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { createFailure, FAILURE_CODES } from '../core/verdict.js';
import type { Failure } from '../core/verdict.js';

/** Answer of a generation, stored by an endpoint daemon for later requests with the same key. */
export type StoredGeneration =
  | {
      readonly kind: 'finished';
      /** The `choices` list of each chunk as JSON, in order. */
      readonly choices: readonly string[];
      /** The engine's usage record as JSON, or an empty string. */
      readonly usage: string;
    }
  | { readonly kind: 'failed'; readonly failure: Failure };

const FORMAT = 1;

const STORED_GENERATION_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('finished'),
    format: z.literal(FORMAT),
    choices: z.array(z.string()),
    usage: z.string(),
  }),
  z.object({
    kind: z.literal('failed'),
    format: z.literal(FORMAT),
    failure: z.object({
      verdict: z.enum(['not-run', 'may-have-run', 'ran']),
      code: z.enum(FAILURE_CODES),
      message: z.string(),
    }),
  }),
]);

/**
 * Encodes a stored answer for the reply to a fence request.
 *
 * @param stored - the answer
 * @returns JSON as UTF-8
 */
export const encodeStoredGeneration = (stored: StoredGeneration): Uint8Array =>
  Buffer.from(JSON.stringify({ format: FORMAT, ...stored }));

/**
 * Decodes a stored answer from the reply to a fence request.
 *
 * @param body - JSON as UTF-8
 * @returns the answer, or an `unsupported-format` failure with verdict `ran` when the body cannot
 *   be decoded
 */
export const decodeStoredGeneration = (body: Uint8Array): Result<StoredGeneration, Failure> => {
  try {
    const parsed = STORED_GENERATION_SCHEMA.safeParse(
      JSON.parse(Buffer.from(body).toString('utf8')),
    );
    if (parsed.success) return Ok(parsed.data);
    return Err(createFailure('ran', 'unsupported-format', z.prettifyError(parsed.error)));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(createFailure('ran', 'unsupported-format', `malformed stored answer: ${reason}`));
  }
};
