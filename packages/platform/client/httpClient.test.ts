import { spawn } from 'node:child_process';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createHttpClient } from './httpClient.js';

const TIMEOUT_MS = 1_000;
const STALL_MS = 1_200;

/** Answers from a process of its own, which goes on while the test's process is stalled. */
const SERVER = `
  const server = require('node:http').createServer((request, response) => {
    process.stdout.write('received');
    if (request.url === '/answered') setTimeout(() => response.end('ok'), 100);
  });
  server.listen(0, '127.0.0.1', () => process.stdout.write(server.address().port.toString()));
`;

/** Blocks the event loop, as a process without processor time does. */
const holdLoop = (durationMs: number): void => {
  const cell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  Atomics.wait(cell, 0, 0, durationMs);
};

// Guards against a store that counts as unavailable because the process had no processor time while
// the answer arrived.
test('a response that arrived while the process was stalled counts', async (t) => {
  const server = spawn(process.execPath, ['-e', SERVER], { stdio: ['ignore', 'pipe', 'inherit'] });
  const [port] = (await once(server.stdout, 'data')) as [Buffer];
  const client = createHttpClient({
    baseUrl: `http://127.0.0.1:${port.toString()}`,
    timeoutMs: TIMEOUT_MS,
  });
  t.teardown(async () => {
    await client.close();
    server.kill('SIGKILL');
  });
  const answered = client.send({ method: 'GET', path: '/answered' });
  await once(server.stdout, 'data');
  // Timers are the next phase of the loop, before sockets are read.
  await nextTurn();
  holdLoop(STALL_MS);
  t.is((await answered).map(({ status }) => status).unwrapOr(0), 200);
  const unanswered = await client.send({ method: 'GET', path: '/unanswered' });
  t.is(unanswered.isErr() ? unanswered.error.kind : '', 'lost');
});

/** Starts a server that writes the given answers to the requests of all its connections, one after the other. */
const startRawServer = async (t: ExecutionContext, answers: readonly string[]) => {
  const sockets: Socket[] = [];
  let answered = 0;
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(answers[answered] ?? '', 'latin1');
      answered += 1;
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = createHttpClient({
    baseUrl: `http://127.0.0.1:${port.toString()}`,
    timeoutMs: TIMEOUT_MS,
  });
  t.teardown(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  let pieces = 0;
  return {
    fetchBody: async (): Promise<string> => {
      const onHead = (head: IncomingMessage): void => {
        const push = head.push.bind(head);
        head.push = (...piece: Parameters<typeof push>): boolean => {
          pieces += 1;
          return push(...piece);
        };
      };
      const result = await client.send({ method: 'GET', path: '/', onHead });
      return Buffer.from(result.unwrap().body).toString('latin1');
    },
    countConnections: () => sockets.length,
    /** Counts the pieces of bodies that the parser has handed on. */
    countPieces: () => pieces,
  };
};

const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Builds an answer of so many chunks of one byte. */
const buildChunks = (count: number): string =>
  `${CHUNKED_HEAD}${'1\r\na\r\n'.repeat(count)}0\r\n\r\n`;

// Guards against work for each chunk of a service's answer: a read brings ten thousand.
test('the chunks of an answer are joined, on each request of a kept connection', async (t) => {
  const count = 20_000;
  const server = await startRawServer(t, [
    buildChunks(count),
    'HTTP/1.1 204 None\r\n\r\n',
    'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    buildChunks(count),
  ]);
  t.is(await server.fetchBody(), 'a'.repeat(count));
  t.is(await server.fetchBody(), '');
  t.is(await server.fetchBody(), 'ok');
  t.is(await server.fetchBody(), 'a'.repeat(count));
  t.is(server.countConnections(), 1);
  t.true(server.countPieces() <= 200, server.countPieces().toString());
});

// Guards against an answer that another request gets: what follows an answer belongs to none.
test('a connection with bytes behind an answer is not used again', async (t) => {
  const server = await startRawServer(t, [
    `${buildChunks(3)}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother`,
    buildChunks(2),
  ]);
  t.is(await server.fetchBody(), 'aaa');
  t.is(await server.fetchBody(), 'aa');
  t.is(server.countConnections(), 2);
});
