import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { reportResets } from './connectionResets.js';

/** More than the socket buffers of both sides hold. */
const UNSENT_BYTES = 32 * 1024 * 1024;

/** Sends a request to a server that runs `script` on its socket, and collects what the client sees. */
const observeConnection = async (
  t: ExecutionContext,
  script: (socket: Socket) => void,
  requestBytes = 1,
): Promise<readonly string[]> => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      script(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const seen: string[] = [];
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  reportResets(client);
  client.on('data', (bytes: Buffer) => seen.push(bytes.toString()));
  client.on('end', () => seen.push('end'));
  client.on('error', (error: NodeJS.ErrnoException) => seen.push(error.code ?? error.message));
  client.write(Buffer.alloc(requestBytes));
  await new Promise((resolve) => client.once('close', resolve));
  return seen;
};

// Guards against an answer that was broken off and looks complete, because the bytes before the reset
// were read together with it.
test('a reset that comes together with bytes is an error and no end', async (t) => {
  const seen = await observeConnection(t, (socket) => {
    socket.write('part');
    socket.resetAndDestroy();
  });
  t.deepEqual(seen, ['part', 'ECONNRESET']);
});

// Guards against the same while a part of the request is not sent yet.
test('a reset before the whole request was sent is an error and no end', async (t) => {
  const script = (socket: Socket): void => {
    socket.write('part');
    socket.resetAndDestroy();
  };
  t.deepEqual(await observeConnection(t, script, UNSENT_BYTES), ['part', 'ECONNRESET']);
});

// Guards against the loss of a valid answer, whose connection may end in order.
test('an orderly end stays an end', async (t) => {
  const seen = await observeConnection(t, (socket) => {
    socket.end('whole', () => socket.destroy());
  });
  t.deepEqual(seen, ['whole', 'end']);
});

// Guards against the loss of a valid answer whose sender ended it, and then closed its connection with a
// part of the request unread.
test('a reset after the end of an answer leaves its end', async (t) => {
  const seen = await observeConnection(t, (socket) => {
    socket.end('whole', () => {
      socket.resetAndDestroy();
    });
  });
  t.deepEqual(seen.slice(0, 2), ['whole', 'end']);
});
