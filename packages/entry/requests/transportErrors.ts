import { ConnectError } from '@connectrpc/connect';

/**
 * Returns the message of an error that a call to an endpoint daemon threw.
 *
 * @param error - thrown value
 * @returns its message, or its string form if it is not an `Error`
 */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Reports whether a failed call may have reached the endpoint daemon. A refused connection or an
 * unreachable host or network proves that nothing was sent; any other error does not.
 *
 * @param error - thrown value
 * @returns `unsent` only when the endpoint daemon cannot have received anything
 */
export const checkSent = (error: unknown): 'sent' | 'unsent' => {
  const { cause } = ConnectError.from(error);
  const code = cause instanceof Error && 'code' in cause ? String(cause.code) : '';
  return UNSENT_CODES.has(code) ? 'unsent' : 'sent';
};
