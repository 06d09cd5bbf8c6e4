import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { INTENT_FORMAT } from './constants.js';
import type { IntentStreamRecord } from './types.js';
import { checkRecordFormat } from '../../core/recordFormat.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

const nonEmptyString = z.string().min(1);
const nullableString = nonEmptyString.nullable();

const keyRecordBase = {
  format: z.literal(INTENT_FORMAT),
  customer: nonEmptyString,
  key: nonEmptyString,
  issuedAt: z.number().nullable(),
  at: z.number(),
};

const outcome = {
  verdict: z.enum(['ran', 'may-have-run']),
  status: z.number().int().nullable(),
  bodyDigest: z.string().nullable(),
};

const standing = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('open') }),
  z.object({ kind: z.literal('abandoned') }),
  z.object({ kind: z.literal('closed'), ...outcome }),
]);

const link = z.object({
  nonce: nonEmptyString,
  previous: nullableString,
  endpoint: nonEmptyString,
  incarnation: nonEmptyString,
  entry: nonEmptyString,
  at: z.number(),
  standing,
});

const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('intent'),
    ...keyRecordBase,
    fingerprint: nonEmptyString,
    nonce: nonEmptyString,
    previous: nullableString,
    endpoint: nonEmptyString,
    incarnation: nonEmptyString,
    entry: nonEmptyString,
  }),
  z.object({ kind: z.literal('outcome'), ...keyRecordBase, nonce: nonEmptyString, ...outcome }),
  z.object({ kind: z.literal('abandoned'), ...keyRecordBase, nonce: nonEmptyString }),
  z.object({
    kind: z.literal('carry-forward'),
    ...keyRecordBase,
    fingerprint: nullableString,
    asOf: z.number().int().nonnegative(),
    link: link.nullable(),
    abandonedEarly: z.array(nonEmptyString),
  }),
]);

const RECORD_NAME = 'record of the intents stream';

/**
 * Parses a record of the `intents` stream.
 *
 * @param json - decoded JSON value
 * @returns the record, or a failure that names the first invalid field; its code is
 *   `unsupported-format` for the format of a later version and `bad-request` otherwise
 */
export const parseIntentRecord = (json: unknown): Result<IntentStreamRecord, Failure> => {
  const formatFailure = checkRecordFormat(json, INTENT_FORMAT, RECORD_NAME);
  if (formatFailure !== null) return Err(formatFailure);
  const parsed = recordSchema.safeParse(json);
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const message = `${RECORD_NAME}: field "${field}": ${issue?.message ?? 'invalid'}`;
  return Err(createFailure('not-run', 'bad-request', message));
};
