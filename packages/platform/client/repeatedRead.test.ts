import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createHttpClient } from './httpClient.js';
import { sendRepeatedRead } from './repeatedRead.js';

const TIMEOUT_MS = 600;
const OVERDUE_MS = 100;
const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

type Answer = (socket: Socket) => void;

const sendAnswer: Answer = (socket) => socket.write(OK);
const holdAnswer: Answer = () => undefined;
const reset: Answer = (socket) => socket.resetAndDestroy();
const sendLateAnswer: Answer = (socket) => {
  setTimeout(() => sendAnswer(socket), OVERDUE_MS * 2);
};

/** Starts a service whose connections answer in turn as given, and a client of it. */
const startService = async (t: ExecutionContext, answers: readonly Answer[]) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    const respond = answers[sockets.length] ?? holdAnswer;
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      respond(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
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
  return { client, countConnections: () => sockets.length };
};

const read = ({ client }: Awaited<ReturnType<typeof startService>>) =>
  sendRepeatedRead(client, {
    first: { method: 'GET', path: '/first' },
    overdueMs: OVERDUE_MS,
    second: { method: 'GET', path: '/second', timeoutMs: TIMEOUT_MS - OVERDUE_MS },
  });

// Guards against a service that counts as away because one connection to it fell silent or was reset,
// although new ones work (review/3, review/4).
test('a read is answered on a new connection when the first one is silent or reset', async (t) => {
  for (const [first, replaced] of [
    [holdAnswer, 'no answer in time'],
    [reset, 'read ECONNRESET'],
  ] as const) {
    const result = await read(await startService(t, [first, sendAnswer]));
    t.is(result.answer.map(({ status }) => status).unwrapOr(0), 200);
    t.regex(result.replaced ?? '', new RegExp(`${replaced}|socket hang up`));
  }
});

// Guards against a slow service whose answer is dropped when it comes on the first connection.
test('the answer of the first connection counts although it was overdue', async (t) => {
  const service = await startService(t, [sendLateAnswer, holdAnswer]);
  const result = await read(service);
  t.is(result.answer.map(({ status }) => status).unwrapOr(0), 200);
  t.is(result.replaced, null);
  t.is(service.countConnections(), 2);
});

// Guards against an outage that is not noticed, or whose start is dated too late.
test('a read fails when the new connection is silent, too', async (t) => {
  const result = await read(await startService(t, [holdAnswer, holdAnswer]));
  t.true(result.answer.isErr());
  t.true(result.triedMs >= TIMEOUT_MS - OVERDUE_MS * 2);
});

// Guards against a request on an idle connection that has fallen silent like the one before it, so that
// one disruption costs a timeout for each connection (review/3).
test('a connection that has been idle for a while is not used again', async (t) => {
  const service = await startService(t, [sendAnswer, sendAnswer, sendAnswer]);
  const send = () => service.client.send({ method: 'GET', path: '/' });
  await Promise.all([send(), send()]);
  await sleep(300);
  t.true((await send()).isOk());
  t.is(service.countConnections(), 3);
});
