import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Interim answers (1xx) before the answer to one request; a service has no reason to send many. */
const MAX_INTERIM_ANSWERS = 8;

/**
 * Received bytes that are not part of the body, beyond as many as the body has. The parser bounds
 * heads and trailers itself, but not the size field of a chunk.
 */
const MAX_OVERHEAD_BYTES = 256 * 1024;

/**
 * Limits what a service may send outside the body of its answer. To be called before the request is
 * sent; the body itself has limits of its own.
 *
 * @param outgoing - request
 * @param getBodyBytes - returns the number of bytes of the body that were received
 * @param onExcess - receives a message when the answer exceeds a limit; may be called again
 */
export const limitOverhead = (
  outgoing: ClientRequest,
  getBodyBytes: () => number,
  onExcess: (message: string) => void,
): void => {
  let interimAnswers = 0;
  outgoing.on('information', () => {
    interimAnswers += 1;
    if (interimAnswers > MAX_INTERIM_ANSWERS) onExcess('too many interim answers');
  });
  outgoing.on('socket', (socket: Socket) => {
    // A connection that is used again has received earlier answers.
    const receivedBefore = socket.bytesRead;
    const checkBytes = (): void => {
      const received = socket.bytesRead - receivedBefore;
      if (received - 2 * getBodyBytes() > MAX_OVERHEAD_BYTES) onExcess('the answer has no end');
    };
    socket.on('data', checkBytes);
    outgoing.once('close', () => {
      socket.off('data', checkBytes);
    });
  });
};
