import { createSocket } from 'node:dgram';
import test from 'ava';
import { createPeerSocket } from './peerSocket.js';

const HOST = '127.0.0.1';

// Guards against a daemon that neither serves nor ends, because the port for its peers is taken.
test('a socket whose port is taken fails to open', async (t) => {
  const other = createSocket('udp4');
  await new Promise<void>((resolve) => {
    other.bind(0, HOST, resolve);
  });
  const address = { host: HOST, port: other.address().port };
  const socket = createPeerSocket(
    address,
    () => undefined,
    () => undefined,
  );
  t.teardown(() => {
    socket.close();
    other.close();
  });
  await t.throwsAsync(socket.open(), { message: /EADDRINUSE/ });
});
