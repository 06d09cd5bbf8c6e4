import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { MAX_KEY_LENGTH } from './constants.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { resolveIssueTime } from '../../decisions/idempotency/keys.js';

/** Key of a call, as the caller's headers give it. */
export interface GivenKey {
  readonly key: string | null;
  readonly issuedAt: Millis | null;
}

/** Header values as they were received; undefined when the header is absent. */
export interface KeyHeaders {
  readonly key: string | undefined;
  readonly issuedAt: string | undefined;
}

/** Control characters and bytes above ASCII read differently on the way through other processes. */
const PRINTABLE = /^[\x20-\x7e]+$/;

const MILLIS_SINCE_EPOCH = /^\d{1,15}$/;

/** A date without a zone would differ between daemons whose zones differ. */
const isoDate = z.union([z.iso.date(), z.iso.datetime({ offset: true })]);

const refuse = (text: string): Result<never, Failure> =>
  Err(createFailure('not-run', 'bad-request', text));

const parseTime = (header: string): Result<Millis, Failure> => {
  if (MILLIS_SINCE_EPOCH.test(header)) return Ok(Number(header));
  if (isoDate.safeParse(header).success) return Ok(Date.parse(header));
  return refuse(
    'Idempotency-Key-Issued-At must be milliseconds since the epoch, or an ISO date that has a zone if it has a time',
  );
};

/**
 * Reads the idempotency key of a call. An invalid key is refused and not left out: without its key
 * the call could run again when it is sent again.
 *
 * @param headers - values of `Idempotency-Key` and `Idempotency-Key-Issued-At`
 * @returns the key with its time of issue, or a `not-run` failure that names the header
 */
export const parseIdempotencyKey = ({ key, issuedAt }: KeyHeaders): Result<GivenKey, Failure> => {
  if (key === undefined) return Ok({ key: null, issuedAt: null });
  if (key === '') return refuse('Idempotency-Key is empty');
  if (key.length > MAX_KEY_LENGTH) {
    return refuse(`Idempotency-Key is longer than ${MAX_KEY_LENGTH.toString()} characters`);
  }
  if (!PRINTABLE.test(key)) return refuse('Idempotency-Key holds a character outside ASCII');
  const time = issuedAt === undefined ? Ok(null) : parseTime(issuedAt);
  return time.map((given) => ({ key, issuedAt: resolveIssueTime(key, given) }));
};
