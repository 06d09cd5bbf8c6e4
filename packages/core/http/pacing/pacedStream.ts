import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { Millis } from '../../clock.js';

/** Connection of a caller as the HTTP server sees it: what it reads is handed on by its pacing. */
export interface PacedStream extends Duplex {
  /** Bytes that have been read from the connection, handed on or not. */
  readonly bytesRead: number;
  readonly bytesWritten: number;
  /** Bytes that have been read and are not handed on yet. */
  readonly heldBytes: number;
  /** Idle time after which `timeout` is emitted; `undefined` without one. */
  readonly timeout: Millis | undefined;
  readonly setTimeout: (timeoutMs: Millis, onTimeout?: () => void) => PacedStream;
  /** Ends the connection, and destroys it once all that was written has been sent. */
  readonly destroySoon: () => void;
}

interface WriteRequest {
  readonly chunk: unknown;
  readonly encoding: BufferEncoding;
}

type WriteCallback = (error?: Error | null) => void;

const writeAll = (socket: Socket, requests: readonly WriteRequest[], done: WriteCallback): void => {
  socket.cork();
  const last = requests.length - 1;
  requests.forEach(({ chunk, encoding }, index) => {
    socket.write(chunk as Uint8Array, encoding, index === last ? done : undefined);
  });
  socket.uncork();
};

const createDuplex = (socket: Socket): Duplex =>
  new Duplex({
    allowHalfOpen: true,
    // The HTTP server writes heads as text, which the socket encodes.
    decodeStrings: false,
    // What is read is pushed as it arrives; the pacing pauses the socket.
    read: () => undefined,
    write: (chunk: Uint8Array, encoding, done) => {
      socket.write(chunk, encoding, done);
    },
    writev: (requests, done) => {
      writeAll(socket, requests, done);
    },
    final: (done) => {
      socket.end(done);
    },
    destroy: (error, done) => {
      socket.destroy();
      done(error);
    },
  });

/**
 * Creates the stream that stands for a socket towards the HTTP server. Everything but the received
 * bytes and their end is forwarded between both.
 *
 * @param socket - accepted connection
 * @param getHeldBytes - returns the bytes that have been read and are not handed on yet
 * @returns the stream
 */
export const createPacedStream = (socket: Socket, getHeldBytes: () => number): PacedStream => {
  const duplex = createDuplex(socket);
  const stream = Object.defineProperties(duplex, {
    bytesRead: { get: () => socket.bytesRead },
    bytesWritten: { get: () => socket.bytesWritten },
    heldBytes: { get: getHeldBytes },
    timeout: { get: () => socket.timeout },
    setTimeout: {
      value: (timeoutMs: Millis, onTimeout?: () => void): PacedStream => {
        socket.setTimeout(timeoutMs);
        if (onTimeout !== undefined) duplex.once('timeout', onTimeout);
        return stream;
      },
    },
    destroySoon: {
      value: (): void => {
        if (!duplex.writableEnded) duplex.end();
        if (duplex.writableFinished) duplex.destroy();
        else duplex.once('finish', () => duplex.destroy());
      },
    },
  }) as PacedStream;
  socket.on('timeout', () => {
    stream.emit('timeout');
  });
  socket.on('error', (error) => {
    stream.destroy(error);
  });
  socket.on('close', () => {
    stream.destroy();
  });
  return stream;
};

/**
 * Counts the bytes of a connection that have been read and are not handed on yet.
 *
 * @param connection - connection of a caller, as the HTTP server sees it
 * @returns number of bytes; 0 for a connection without pacing
 */
export const countHeldBytes = (connection: object): number =>
  'heldBytes' in connection ? Number(connection.heldBytes) : 0;
