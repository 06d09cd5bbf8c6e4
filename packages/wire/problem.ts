import { assertNever } from '../core/assertNever.js';
import type { RequestId } from '../core/ids.js';
import type { Failure, FailureCode } from '../core/verdict.js';

/** Body of an error response, `application/problem+json`. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: FailureCode;
  readonly verdict: Failure['verdict'];
  readonly requestId: RequestId;
  /** Copy of the error where clients of the chat-completions API expect it. */
  readonly error: { readonly message: string; readonly type: string; readonly code: FailureCode };
}

/**
 * Maps a failure code to an HTTP status.
 *
 * @param code - reason of the failure
 * @returns the status code
 */
export const toHttpStatus = (code: FailureCode): number => {
  switch (code) {
    case 'bad-request':
    case 'unknown-class':
    case 'key-expired':
    case 'unsupported-format':
      return 400;
    case 'unauthorized':
      return 401;
    case 'unknown-model':
    case 'unknown-service':
      return 404;
    case 'key-conflict':
    case 'key-in-flight':
    case 'key-unresolved':
    case 'lost-race':
    case 'fenced':
      return 409;
    case 'too-large':
      return 413;
    case 'quarantined':
      return 422;
    case 'overloaded':
    case 'shed':
      return 429;
    case 'cancelled':
      return 499;
    case 'internal':
      return 500;
    case 'endpoint-failed':
    case 'endpoint-lost':
    case 'stream-lost':
      return 502;
    case 'no-endpoint':
    case 'draining':
    case 'data-centre-out':
    case 'stale-incarnation':
    case 'log-unavailable':
      return 503;
    case 'deadline-exceeded':
      return 504;
    default:
      return assertNever(code);
  }
};

/**
 * Converts a failure to a problem document for the caller.
 *
 * @param failure - failure to report
 * @param requestId - id of the failed request
 * @returns the problem document
 */
export const toProblem = (failure: Failure, requestId: RequestId): Problem => ({
  type: `https://chestnutspan.example/problems/${failure.code}`,
  title: failure.code,
  status: toHttpStatus(failure.code),
  detail: failure.message,
  code: failure.code,
  verdict: failure.verdict,
  requestId,
  error: { message: failure.message, type: failure.verdict, code: failure.code },
});
