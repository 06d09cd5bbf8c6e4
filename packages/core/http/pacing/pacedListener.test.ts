import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createListenerMemory, createPacedListener } from './pacedListener.js';
import { createSystemClock } from '../../clock.js';
import { createMemoryAccount } from '../../memory/memoryAccount.js';

const HOST = '127.0.0.1';

/** Memory for one request. */
const REQUEST_BYTES = 30_000;

/** Longer than the test, so that no connection is closed for being idle. */
const LONG_IDLE_MS = 60_000;

const formatRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** Starts a server whose requests are answered by the test, with memory for one of them at a time. */
const startServer = async (t: ExecutionContext) => {
  const open = new Map<string, ServerResponse>();
  const server = createServer({ keepAliveTimeout: LONG_IDLE_MS }, (incoming, response) => {
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
  return {
    server,
    countDue: listener.countDue,
    answer: (path: string) => open.get(path)?.end('answer'),
    openCaller: () => {
      const socket = connect(port, HOST);
      t.teardown(() => {
        socket.destroy();
      });
      return socket;
    },
  };
};

// Guards against a request that has been read whole and is cut without an answer when its server is
// closed (LOST): it waits for memory, and the parser of its kept connection has read nothing of it.
test('a server that is closed answers a request that waits for memory', async (t) => {
  const { answer, countDue, openCaller, server } = await startServer(t);
  const kept = openCaller();
  kept.write(formatRequest('/0'));
  await once(server, 'opened');
  answer('/0');
  await once(kept, 'data');
  openCaller().write(formatRequest('/1'));
  await once(server, 'opened');
  kept.write(formatRequest('/2'));
  while (countDue() < 2) await new Promise(setImmediate);
  const ended = Promise.race([
    once(server, 'opened').then(() => 'passed on'),
    once(kept, 'close').then(() => 'closed'),
  ]);
  server.close();
  answer('/1');
  t.is(await ended, 'passed on');
  answer('/2');
});

// Guards against a server that is never closed because a caller has sent line ends behind an answer.
test('a server that is closed closes a connection with line ends alone', async (t) => {
  const { answer, openCaller, server } = await startServer(t);
  const kept = openCaller();
  kept.write(formatRequest('/0'));
  await once(server, 'opened');
  answer('/0');
  await once(kept, 'data');
  kept.write('\r\n');
  await sleep(50);
  server.close();
  await once(kept, 'close');
  t.pass();
});
