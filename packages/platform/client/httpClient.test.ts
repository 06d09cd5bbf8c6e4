import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
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
