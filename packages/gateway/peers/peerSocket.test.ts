import { createSocket } from 'node:dgram';
import test from 'ava';
import { createPeerSocket } from './peerSocket.js';
import type { PeerMessage, PeerReport } from './types.js';

const HOST = '127.0.0.1';

/** Below the ports of outgoing connections, and of this process only. */
const PORT = 11_000 + (process.pid % 1_000);

const MAX_DATAGRAM_BYTES = 65_507;

const MESSAGE: PeerReport = {
  kind: 'report',
  format: 2,
  fleet: 1,
  process: 'gateway-2',
  dataCentre: 'dc-a',
  load: [['e-1', 2, 500, 100]],
  transfers: [],
  leaving: [],
  hosts: [],
  wants: 'nothing',
  crashes: [],
  survivals: [],
  limits: [],
};

const ODD_DATAGRAMS: readonly Buffer[] = [
  ...['', 'null', '7', '[]', '{}', '{"format":2', '\0'].map((text) => Buffer.from(text)),
  Buffer.from('['.repeat(MAX_DATAGRAM_BYTES)),
  Buffer.from(`${'['.repeat(30_000)}${']'.repeat(30_000)}`),
  Buffer.from(`${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`),
  Buffer.alloc(MAX_DATAGRAM_BYTES, 0xff),
  ...[{ load: 7 }, { load: [['e-1', 'x', 1, 1]] }, { hosts: [{}] }, { process: null }].map(
    (change) => Buffer.from(JSON.stringify({ ...MESSAGE, ...change })),
  ),
  Buffer.from(JSON.stringify({ ...MESSAGE, crashes: '#' }).replace('"#"', '{"length":1}')),
  Buffer.from(`{"__proto__":${JSON.stringify(MESSAGE)}}`),
];

// Guards against a datagram that ends the daemon, or after which it reads no others.
test('odd datagrams are dropped and the next message is received', async (t) => {
  const received: PeerMessage[] = [];
  const sender = createSocket('udp4');
  const arrived = new Promise<void>((resolve) => {
    const receiver = createPeerSocket(
      { host: HOST, port: PORT },
      (_host, message) => {
        received.push(message);
        resolve();
      },
      (error) => {
        t.fail(error.message);
      },
    );
    t.teardown(receiver.close);
    void receiver.open().then(async () => {
      for (const bytes of [...ODD_DATAGRAMS, Buffer.from(JSON.stringify(MESSAGE))]) {
        await new Promise((sent) => {
          sender.send(bytes, PORT, HOST, sent);
        });
      }
    });
  });
  t.teardown(() => sender.close());
  await arrived;
  t.deepEqual(received, [MESSAGE]);
});

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
