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

/** Texts of the errors for a stream with the code REFUSED_STREAM: of Node.js, and of the library. */
const REFUSED_STREAM_TEXTS: ReadonlySet<string> = new Set([
  'Stream closed with error code NGHTTP2_REFUSED_STREAM',
  'http/2 stream closed with error code REFUSED_STREAM (0x7)',
]);

/**
 * Reports whether the endpoint daemon refused a call for lack of memory. HTTP/2 guarantees that a
 * refused stream was not processed.
 *
 * @param error - thrown value
 * @returns whether the call was refused
 */
export const isRefused = (error: unknown): boolean =>
  REFUSED_STREAM_TEXTS.has(ConnectError.from(error).rawMessage);

/**
 * Reports whether a failed call may have reached the endpoint daemon. A refused connection or an
 * unreachable host or network proves that nothing was sent, and a refused stream that nothing ran; any
 * other error does not.
 *
 * @param error - thrown value
 * @returns `unsent` only when the endpoint daemon cannot have received or processed anything
 */
export const checkSent = (error: unknown): 'sent' | 'unsent' => {
  if (isRefused(error)) return 'unsent';
  const { cause } = ConnectError.from(error);
  const code = cause instanceof Error && 'code' in cause ? String(cause.code) : '';
  return UNSENT_CODES.has(code) ? 'unsent' : 'sent';
};
