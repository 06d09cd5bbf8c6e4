import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { MAX_KEY_LENGTH } from './constants.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { resolveIssueTime } from '../../decisions/idempotency/keys.js';

/** Idempotency key of a request; both fields are null when the caller sent none. */
export interface IdempotencyKey {
  readonly key: string | null;
  readonly issuedAt: Millis | null;
}

/** Raw header values; undefined when the header is absent. */
export interface KeyHeaders {
  readonly key: string | undefined;
  readonly issuedAt: string | undefined;
}

/** Excludes control characters and non-ASCII bytes, which other processes may read differently. */
const PRINTABLE_ASCII = /^[\x20-\x7e]+$/;

const MILLIS_SINCE_EPOCH = /^\d{1,15}$/;

/** Without an offset, daemons in different time zones would read the same time differently. */
const isoDate = z.union([z.iso.date(), z.iso.datetime({ offset: true })]);

const refuse = (message: string): Result<never, Failure> =>
  Err(createFailure('not-run', 'bad-request', message));

const parseTime = (header: string): Result<Millis, Failure> => {
  if (MILLIS_SINCE_EPOCH.test(header)) return Ok(Number(header));
  if (isoDate.safeParse(header).success) return Ok(Date.parse(header));
  return refuse(
    'Idempotency-Key-Issued-At must be milliseconds since the epoch, or an ISO date that has a zone if it has a time',
  );
};

/**
 * Parses the idempotency key of a request. An invalid key is refused rather than ignored: without
 * its key, a retried request could run twice.
 *
 * @param headers - values of `Idempotency-Key` and `Idempotency-Key-Issued-At`
 * @returns the key with its time of issue, or a `not-run` failure that names the header
 */
export const parseIdempotencyKey = ({
  key,
  issuedAt,
}: KeyHeaders): Result<IdempotencyKey, Failure> => {
  if (key === undefined) return Ok({ key: null, issuedAt: null });
  if (key === '') return refuse('Idempotency-Key is empty');
  if (key.length > MAX_KEY_LENGTH) {
    return refuse(`Idempotency-Key is longer than ${MAX_KEY_LENGTH.toString()} characters`);
  }
  if (!PRINTABLE_ASCII.test(key))
    return refuse('Idempotency-Key contains a character outside printable ASCII');
  const time = issuedAt === undefined ? Ok(null) : parseTime(issuedAt);
  return time.map((headerTime) => ({ key, issuedAt: resolveIssueTime(key, headerTime) }));
};
