import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';

/** Bytes after which a client that still reads has no bound. */
export const MAX_BYTES = 8 * 1024 * 1024;

const PIECE_BYTES = 16 * 1024;

export const OK_HEAD = 'HTTP/1.1 200 OK\r\n';
export const CHUNKED_HEAD = `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Heads of answers, and pieces of them that never end. */
export const ENDLESS_HEADS = [
  ['a status line', '', 'x'],
  ['bytes without a line end after the status line', `${OK_HEAD}Name: `, 'x'],
  ['header lines', OK_HEAD, 'Name: value\r\n'],
  ['interim answers', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  ['a chunk size', CHUNKED_HEAD, '0'],
  ['chunk extensions', `${CHUNKED_HEAD}1`, ';name=value'],
  ['trailers', `${CHUNKED_HEAD}0\r\n`, 'Name: value\r\n'],
] as const;

/** Bytes that are repeated, or a function that formats each of them by its number, counted from 1. */
export type EndlessPiece = string | ((number: number) => string);

/** Returns a function that returns the next pieces, of some `PIECE_BYTES` together. */
const createPieces = (piece: EndlessPiece): (() => string) => {
  if (typeof piece === 'string') {
    const text = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
    return () => text;
  }
  let count = 0;
  return () => {
    let text = '';
    while (text.length < PIECE_BYTES) {
      count += 1;
      text += piece(count);
    }
    return text;
  };
};

/**
 * Writes a piece again and again until the connection closes or `MAX_BYTES` are written.
 *
 * @param socket - connection to the client
 * @param head - bytes before the first piece
 * @param piece - bytes that are repeated
 */
export const writeWithoutEnd = (socket: Socket, head: string, piece: EndlessPiece): void => {
  const takeNext = createPieces(piece);
  const write = (): void => {
    while (!socket.destroyed && socket.bytesWritten < MAX_BYTES) {
      if (!socket.write(takeNext())) {
        socket.once('drain', write);
        return;
      }
    }
  };
  socket.write(head);
  write();
};

/** Server that answers each request without end. */
export interface EndlessServer {
  readonly port: number;
  /** Resolves to the bytes that the first connection took until its client closed it. */
  readonly taken: Promise<number>;
}

/**
 * Starts a server that answers each request without end.
 *
 * @param t - test that stops the server at its end
 * @param head - bytes before the first piece
 * @param piece - bytes that are repeated
 * @returns the running server
 */
export const startEndlessServer = async (
  t: ExecutionContext,
  head: string,
  piece: string,
): Promise<EndlessServer> => {
  let settle: (bytes: number) => void = () => undefined;
  const taken = new Promise<number>((resolve) => {
    settle = resolve;
  });
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      settle(socket.bytesWritten);
    });
    socket.once('data', () => {
      writeWithoutEnd(socket, head, piece);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return { port: (server.address() as AddressInfo).port, taken };
};
