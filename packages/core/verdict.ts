import type { Millis } from './clock.js';

/** Says whether a request may have run at an endpoint. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Every reason for which a request can fail. */
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

/** A failure together with what is known about the request's execution. */
export interface Failure {
  readonly verdict: Verdict;
  readonly code: FailureCode;
  readonly message: string;
  /** Earliest time after which a retry is useful, in milliseconds from now. */
  readonly retryAfterMs?: Millis;
}

/**
 * Creates a failure.
 *
 * @param verdict - whether the request may have run
 * @param code - reason of the failure
 * @param message - sentence for the caller
 * @param retryAfterMs - earliest useful retry in milliseconds from now
 * @returns the failure
 */
export const createFailure = (
  verdict: Verdict,
  code: FailureCode,
  message: string,
  retryAfterMs?: Millis,
): Failure => ({ verdict, code, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) });
