import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { createListenerMemory, createPacedListener } from './pacedListener.js';
import { createSystemClock } from '../../clock.js';
import { createMemoryAccount } from '../../memory/memoryAccount.js';

const HOST = '127.0.0.1';

/** Memory for one request. */
const REQUEST_BYTES = 30_000;

const formatRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

// Guards against a request that has been read whole and is cut without an answer when its server is
// closed (LOST): it waits for memory, and the parser of its kept connection has read nothing of it.
test('a server that is closed answers a request that waits for memory', async (t) => {
  const open = new Map<string, ServerResponse>();
  const server = createServer((incoming, response) => {
    open.set(incoming.url ?? '', response);
    server.emit('opened');
  });
  const listener = createPacedListener(server, createSystemClock(), {
    ...createListenerMemory(),
    requests: createMemoryAccount(REQUEST_BYTES),
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const openCaller = () => {
    const socket = connect(port, HOST);
    t.teardown(() => {
      socket.destroy();
    });
    return socket;
  };
  const kept = openCaller();
  kept.write(formatRequest('/0'));
  await once(server, 'opened');
  open.get('/0')?.end('answer');
  await once(kept, 'data');
  const other = openCaller();
  other.write(formatRequest('/1'));
  await once(server, 'opened');
  kept.write(formatRequest('/2'));
  while (listener.countDue() < 2) await new Promise(setImmediate);
  const ended = Promise.race([
    once(server, 'opened').then(() => 'passed on'),
    once(kept, 'close').then(() => 'closed'),
  ]);
  server.close();
  open.get('/1')?.end('answer');
  t.is(await ended, 'passed on');
  open.get('/2')?.end('answer');
});
