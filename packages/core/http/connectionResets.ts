import type { Socket } from 'node:net';

const NO_BYTES = new Uint8Array();

const isResetError = (error: Error | null): boolean =>
  error !== null && 'code' in error && error.code === 'ECONNRESET';

/** Checks a connection that is about to emit `end`; one that was reset has no peer any more. */
const isReset = (socket: Socket): boolean => {
  if (!socket.writable) return false;
  // An empty write would wait behind one that is not finished.
  if (socket.writableLength > 0) return socket.remoteAddress === undefined;
  // Sends nothing, and fails at once: with ECONNRESET, or with EPIPE if the peer ended its answer first.
  socket.write(NO_BYTES);
  return isResetError(socket.errored);
};

/**
 * Makes each reset of a connection an error. libuv reports a reset that arrives together with bytes
 * as an orderly end, so that an answer that has neither a length nor chunks looks complete although
 * it was broken off. Such a connection emits `error` with ECONNRESET, and no `end`.
 *
 * @param socket - connection that has not received anything yet; to be passed once
 */
export const reportResets = (socket: Socket): void => {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
  // Parsers treat each `end` as that of the answer, and a listener cannot keep it from them.
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean =>
    event === 'end' && isReset(socket) ? false : emit(event, ...args);
};
