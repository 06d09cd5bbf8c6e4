import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { createEndpointClient } from './endpointClient.js';
import { buildOrder, CODEC } from './endpointClient.fixture.js';
import type { RequestsEvent } from '../events.js';

/** Bytes after which a client that still reads has no bound. */
const MAX_BYTES = 8 * 1024 * 1024;

const PIECE_BYTES = 16 * 1024;

const OK_HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED_HEAD = `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Writes a piece again and again until the connection closes or `MAX_BYTES` are written. */
const writeWithoutEnd = (socket: Socket, head: string, piece: string): void => {
  const text = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
  const write = (): void => {
    while (!socket.destroyed && socket.bytesWritten < MAX_BYTES) {
      if (!socket.write(text)) {
        socket.once('drain', write);
        return;
      }
    }
  };
  socket.write(head);
  write();
};

/** Answers one attempt without end; resolves to the posted events once the client closes. */
const runEndless = async (head: string, piece: string) => {
  const closed: { bytes: number } = { bytes: 0 };
  const events: RequestsEvent[] = [];
  await new Promise<void>((resolve) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        closed.bytes = socket.bytesWritten;
        server.close();
        resolve();
      });
      socket.once('data', () => {
        writeWithoutEnd(socket, head, piece);
      });
    });
    server.listen(0, '127.0.0.1', () => {
      const client = createEndpointClient(CODEC, (event) => {
        events.push(event);
        if (event.kind === 'attempt-connected') client.send(event.key, event.attempt);
      });
      client.open(buildOrder((server.address() as AddressInfo).port));
    });
  });
  return { events, bytes: closed.bytes };
};

// Guards against an answer whose head never ends: it fills the memory or the processor time of the
// daemon until the deadline.
for (const [name, head, piece] of [
  ['a status line', '', 'x'],
  ['bytes without a line end after the status line', `${OK_HEAD}Name: `, 'x'],
  ['header lines', OK_HEAD, 'Name: value\r\n'],
  ['interim answers', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  ['a chunk size', CHUNKED_HEAD, '0'],
  ['chunk extensions', `${CHUNKED_HEAD}1`, ';name=value'],
  ['trailers', `${CHUNKED_HEAD}0\r\n`, 'Name: value\r\n'],
] as const) {
  test(`an answer with ${name} without end is cut`, async (t) => {
    const { bytes, events } = await runEndless(head, piece);
    t.true(bytes < MAX_BYTES, bytes.toString());
    t.is(events.at(-1)?.kind, 'attempt-failed');
  });
}
