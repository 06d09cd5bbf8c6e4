import type { Writable } from 'node:stream';

/**
 * Keeps a daemon running when its output cannot be written, as when the reader of its log has ended or
 * a disk is full: without a listener, the error of a standard stream ends the process.
 *
 * @param streams - standard streams of the process
 */
export const handleOutputErrors = (streams: readonly Writable[]): void => {
  for (const stream of streams) stream.on('error', () => undefined);
};
