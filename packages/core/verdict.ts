import type { Millis } from './clock.js';

/** What is known about whether a request ran at an endpoint. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** All reasons for which a request can fail. */
export const FAILURE_CODES = [
  'bad-request',
  'unauthorized',
  'unknown-class',
  'unknown-model',
  'unknown-service',
  'unsupported-format',
  'too-large',
  'overloaded',
  'shed',
  'no-endpoint',
  'draining',
  'data-centre-out',
  'stale-incarnation',
  'deadline-exceeded',
  'endpoint-failed',
  'endpoint-lost',
  'stream-lost',
  'key-expired',
  'key-conflict',
  'key-in-flight',
  'key-unresolved',
  'log-unavailable',
  'quarantined',
  'fenced',
  'cancelled',
  'lost-race',
  'internal',
] as const;

export type FailureCode = (typeof FAILURE_CODES)[number];

/** Failure of a request, with what is known about its execution. */
export interface Failure {
  readonly verdict: Verdict;
  readonly code: FailureCode;
  readonly message: string;
  /** Minimum delay before a retry is useful, in milliseconds. */
  readonly retryAfterMs?: Millis;
}

/**
 * Creates a failure.
 *
 * @param verdict - what is known about the request's execution
 * @param code - reason of the failure
 * @param message - error message for the caller
 * @param retryAfterMs - minimum delay before a retry is useful, in milliseconds
 * @returns the failure
 */
export const createFailure = (
  verdict: Verdict,
  code: FailureCode,
  message: string,
  retryAfterMs?: Millis,
): Failure => ({ verdict, code, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) });
