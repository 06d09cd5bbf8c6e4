import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import fastify from 'fastify';
import { parseRetryAfter } from './httpClient.js';
import { createListClient } from './listClient.js';
import { createLogClient } from './logClient.js';
import { createWeightClient } from './weightClient.js';

type Script =
  | 'append'
  | 'lose-answer'
  | 'hang'
  | 'status-400'
  | 'status-429'
  | 'status-500'
  | 'no-json'
  | 'damaged'
  | 'cut';

/** Starts a fake log, list and weight store; the stream or model name selects the response. */
const startFakePlatform = async (t: ExecutionContext) => {
  const server = fastify({ forceCloseConnections: true });
  const records: unknown[] = [];
  server.post('/streams/:script/records', (incoming, reply) => {
    const { script } = incoming.params as { script: Script };
    if (script.startsWith('status-'))
      return reply
        .code(Number(script.slice(7)))
        .header('retry-after', '2')
        .send();
    records.push(...(incoming.body as { records: unknown[] }).records);
    if (script === 'hang') return reply.hijack();
    if (script === 'lose-answer') {
      incoming.raw.destroy();
      return reply.hijack();
    }
    return script === 'no-json'
      ? reply.send('none')
      : reply.send({ firstOffset: records.length - 1 });
  });
  server.get('/streams/:script/records', (incoming, reply) => {
    const { script } = incoming.params as { script: Script };
    if (script === 'status-500') return reply.code(500).send();
    if (script === 'damaged') {
      return reply
        .type('application/json')
        .send(
          '{"records":[{"offset":0,"at":1,"body":1},{"offset":1,"at":1},{"offset":2,"at":1,"body":"{\\"a"}],"nextOffset":3,"firstOffset":0}',
        );
    }
    if (script === 'cut') return reply.type('application/json').send('{"records":[{"offset":0,"a');
    const { from } = incoming.query as { from: string };
    const page = records.map((body, offset) => ({ offset, at: 7, body })).slice(Number(from));
    return reply.send({
      records: page,
      nextOffset: records.length,
      firstOffset: script === 'no-json' ? 'x' : 0,
    });
  });
  server.get('/instances', (_incoming, reply) =>
    reply.send({
      instances: [
        { id: 'a', role: 'entry', dataCentre: 'd', state: 'live', rpcUrl: 'r', httpUrl: 'h' },
      ],
    }),
  );
  server.get('/weights/:model/:version', (incoming, reply) => {
    const { model } = incoming.params as { model: string };
    return model === 'busy'
      ? reply.code(429).header('retry-after', '3').send()
      : reply.send(Buffer.from('w'));
  });
  const baseUrl = await server.listen({ host: '127.0.0.1', port: 0 });
  t.teardown(() => server.close());
  return { options: { baseUrl, timeoutMs: 300 }, records, server };
};

// Guards against a retry of an append that took effect: an append is reported as rejected only if
// the log refused it, and as unknown if its confirmation is missing.
test('an append is reported as appended, rejected or unknown by the response', async (t) => {
  const { options, records } = await startFakePlatform(t);
  const client = createLogClient(options);
  t.teardown(client.close);
  t.deepEqual(await client.append('append', [{ a: 1 }]), { kind: 'appended', offset: 0 });
  t.is((await client.append('status-400', [1])).kind, 'rejected');
  t.like(await client.append('status-429', [1]), { kind: 'rejected', retryAfterMs: 2_000 });
  t.is(records.length, 1);
  for (const script of ['status-500', 'lose-answer', 'hang', 'no-json']) {
    t.is((await client.append(script, [script])).kind, 'unknown', script);
  }
  t.deepEqual(records, [{ a: 1 }, 'lose-answer', 'hang', 'no-json']);
});

// Guards against an outage that is treated as an append with an unknown result.
test('an append to a closed port is rejected, one on a closed connection is unknown', async (t) => {
  const { options, server } = await startFakePlatform(t);
  await server.close();
  const refused = createLogClient(options);
  t.teardown(refused.close);
  t.is((await refused.append('append', [1])).kind, 'rejected');
  const closingServer = createServer((socket: Socket) => {
    socket.once('data', () => socket.destroy());
  });
  await new Promise<void>((resolve) => {
    closingServer.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => closingServer.close());
  const { port } = closingServer.address() as AddressInfo;
  const interruptedClient = createLogClient({
    ...options,
    baseUrl: `http://127.0.0.1:${port.toString()}`,
  });
  t.teardown(interruptedClient.close);
  t.is((await interruptedClient.append('append', [1])).kind, 'unknown');
});

// Guards against a page whose connection was reset and that counts as whole, because the runtime reports a
// reset that comes together with bytes as the end of the connection.
for (const end of ['ended', 'reset'] as const) {
  test(`a page without a length is ${end === 'ended' ? 'read' : 'refused'} when it is ${end}`, async (t) => {
    const page = 'HTTP/1.1 200 OK\r\n\r\n{"records":[],"nextOffset":0,"firstOffset":0}';
    const server = createServer((socket: Socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        if (end === 'ended') socket.end(page);
        else {
          socket.write(page);
          socket.resetAndDestroy();
        }
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const baseUrl = `http://127.0.0.1:${port.toString()}`;
    const client = createLogClient({ baseUrl, timeoutMs: 300 });
    t.teardown(client.close);
    t.is((await client.read('records', { from: 0 })).isOk(), end === 'ended');
  });
}

// Guards against an invalid page that is folded, and against an outage that throws an error.
test('a read returns validated records or a failure', async (t) => {
  const { options } = await startFakePlatform(t);
  const client = createLogClient(options);
  t.teardown(client.close);
  await client.append('append', ['x', 'y']);
  const page = await client.read('append', { from: 1, waitMs: 10 });
  t.deepEqual(page.unwrap(), {
    records: [{ offset: 1, at: 7, body: 'y' }],
    nextOffset: 2,
    firstOffset: 0,
  });
  t.like((await client.read('status-500', { from: 0 })).unwrapErr(), {
    verdict: 'not-run',
    code: 'log-unavailable',
  });
  t.regex((await client.read('no-json', { from: 0 })).unwrapErr().message, /"firstOffset"/);
  const ended = await client.read('append', { from: 0, signal: AbortSignal.abort() });
  t.true(ended.isErr());
});

// Guards against a record without a body or with malformed JSON in it that makes the other records
// of the page unreadable, and against a truncated page that is read as a short one.
test('a damaged record keeps its offset in the page, a truncated page is a failure', async (t) => {
  const { options } = await startFakePlatform(t);
  const client = createLogClient(options);
  t.teardown(client.close);
  const page = (await client.read('damaged', { from: 0 })).unwrap();
  t.deepEqual(
    page.records.map(({ offset, body }) => [offset, body]),
    [
      [0, 1],
      [1, null],
      [2, '{"a'],
    ],
  );
  const failure = (await client.read('cut', { from: 0 })).unwrapErr();
  t.like(failure, { verdict: 'not-run', code: 'log-unavailable' });
  t.regex(failure.message, /^the log: malformed JSON at offset 24/);
});

// Guards against an instance list that is not validated and a rate limit whose retry delay is lost.
test('the list and the weights are fetched, or fail with the reason', async (t) => {
  const { options } = await startFakePlatform(t);
  const list = createListClient(options);
  const weights = createWeightClient(options);
  t.teardown(list.close);
  t.teardown(weights.close);
  t.like((await list.fetchInstances()).unwrap()[0], { id: 'a', state: 'live' });
  t.deepEqual([...(await weights.fetchWeights('m', 'v')).unwrap()], [119]);
  t.like((await weights.fetchWeights('busy', 'v')).unwrapErr(), {
    code: 'overloaded',
    retryAfterMs: 3_000,
  });
});

// Guards against a retry delay that is parsed as milliseconds or ignored.
test('retry-after is parsed as seconds or as a date', (t) => {
  t.is(parseRetryAfter('1.5', 0), 1_500);
  t.is(parseRetryAfter('Thu, 01 Jan 1970 00:00:09 GMT', 4_000), 5_000);
  t.is(parseRetryAfter('soon', 0), undefined);
  t.is(parseRetryAfter(undefined, 0), undefined);
});
