import { ConnectError } from '@connectrpc/connect';

/**
 * Describes an error of a call to an endpoint daemon.
 *
 * @param error - what was thrown
 * @returns its message
 */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Tells whether a failed call can have reached the endpoint daemon. A refused connection proves that
 * nothing was sent; every other error leaves it open.
 *
 * @param error - what was thrown
 * @returns `unsent` only when nothing can have arrived
 */
export const checkSent = (error: unknown): 'sent' | 'unsent' => {
  const { cause } = ConnectError.from(error);
  const code = cause instanceof Error && 'code' in cause ? String(cause.code) : '';
  return UNSENT_CODES.has(code) ? 'unsent' : 'sent';
};
