import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { validate, version } from 'uuid';
import { CLOCK_MARGIN_MS } from './constants.js';
import type { ChainState, KeyCounts, KeySettings, KeyedRequest } from './types.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

/**
 * Reads the time of creation that a UUIDv7 contains.
 *
 * @param id - key or nonce, in any format
 * @returns milliseconds since the epoch, or null when the value is not a UUIDv7
 */
export const readIdTime = (id: string): Millis | null => {
  if (!validate(id) || version(id) !== 7) return null;
  return Number.parseInt(id.replaceAll('-', '').slice(0, 12), 16);
};

/**
 * Determines the time of issue of a key.
 *
 * @param key - the caller's key
 * @param header - time from the caller's header, or null when it sent none
 * @returns the time in a UUIDv7 key, else the time in the header, else null
 */
export const resolveIssueTime = (key: string, header: Millis | null): Millis | null =>
  readIdTime(key) ?? header;

/**
 * Reports whether a chain may be dropped. It is kept for `CLOCK_MARGIN_MS` longer than its key is
 * accepted.
 *
 * @param issuedAt - time of issue of the chain's key
 * @param now - current time
 * @param settings - key window
 * @returns true when no daemon accepts the key any longer
 */
export const isKeyExpired = (
  issuedAt: Millis | null,
  now: Millis,
  settings: KeySettings,
): boolean => issuedAt !== null && now > issuedAt + settings.keyWindowMs + CLOCK_MARGIN_MS;

const refuse = (code: 'key-expired' | 'key-conflict' | 'overloaded', message: string) =>
  Err(createFailure('not-run', code, message));

const checkIssueTime = (
  issuedAt: Millis,
  now: Millis,
  settings: KeySettings,
): Result<'accepted', Failure> => {
  if (issuedAt > now + CLOCK_MARGIN_MS) {
    return refuse('key-expired', 'the time of issue of the key lies in the future');
  }
  if (issuedAt < now - settings.keyWindowMs) {
    return refuse('key-expired', 'the key was issued before the key window');
  }
  return Ok('accepted');
};

/**
 * Checks that a request has the content and time of issue that its key is bound to.
 *
 * @param request - request under the key
 * @param chain - chain of the key
 * @returns `accepted`, or a failure with code `key-conflict`
 */
export const checkKeyBinding = (
  request: KeyedRequest,
  chain: ChainState,
): Result<'accepted', Failure> => {
  if (chain.fingerprint !== null && chain.fingerprint !== request.fingerprint) {
    return refuse('key-conflict', 'the key was used for a request with other content');
  }
  if (chain.fingerprint !== null && chain.issuedAt !== request.issuedAt) {
    // The content is the same, so an earlier request under the key may have run.
    const message = 'the key was used with another time of issue';
    return Err(createFailure('may-have-run', 'key-conflict', message));
  }
  return Ok('accepted');
};

/**
 * Checks the key of a request before any record is appended.
 *
 * @param request - customer, key, fingerprint and time of issue
 * @param chain - chain of the key, or undefined when the table has none
 * @param keyCounts - number of keys in the table, by kind
 * @param now - current time
 * @param settings - key window and bounds on the number of keys
 * @returns `accepted`, or a failure with code `key-expired`, `key-conflict` or `overloaded`
 */
export const checkKey = (
  request: KeyedRequest,
  chain: ChainState | undefined,
  keyCounts: KeyCounts,
  now: Millis,
  settings: KeySettings,
): Result<'accepted', Failure> => {
  if (request.issuedAt !== null) {
    const issueTimeCheck = checkIssueTime(request.issuedAt, now, settings);
    if (issueTimeCheck.isErr()) return issueTimeCheck;
  }
  if (chain !== undefined) return checkKeyBinding(request, chain);
  if (request.issuedAt === null && keyCounts.untimed >= settings.maxUntimedKeys) {
    return refuse('overloaded', 'too many keys without a time of issue are stored');
  }
  if (request.issuedAt !== null && keyCounts.timed >= settings.maxTimedKeys) {
    return refuse('overloaded', 'too many keys are stored');
  }
  return Ok('accepted');
};
