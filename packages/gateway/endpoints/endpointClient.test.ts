import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createEndpointClient } from './endpointClient.js';
import type { AttemptOrder, RequestsEvent } from '../events.js';
import type { AnswerHead, HeadCodec } from '../types.js';

const HEAD: Omit<AnswerHead, 'status'> = {
  headers: [],
  requestId: 'r-1',
  signature: 'signed',
  proof: 'none',
  encoding: 'plain',
  framing: 'framed',
};

const CODEC: HeadCodec = {
  decodeCaller: () => {
    throw new Error('not used');
  },
  encodeAttempt: (request) => ['Host', 'test', 'Content-Length', request.body.length.toString()],
  decodeAnswer: (status) => ({ ...HEAD, status }),
  isReadinessPath: () => false,
};

const buildOrder = (port: number): AttemptOrder => ({
  key: 1,
  attempt: 1,
  address: { host: '127.0.0.1', port },
  head: {
    endpointId: 'e-1',
    leftMs: 1_000,
    customer: null,
    rank: null,
    lastEventId: null,
    backup: null,
    copy: null,
  },
  request: {
    key: 1,
    id: 'r-1',
    method: 'POST',
    path: '/a/',
    host: 'test',
    headers: [],
    body: Buffer.from('x'),
    credential: null,
    callerTimeoutMs: 1_000,
    demand: null,
    lastEventId: null,
    receivedAt: 0,
  },
});

/** Sends one attempt to a server that is scripted on its socket, and collects what is posted. */
const runAttempt = async (
  t: ExecutionContext,
  script: (socket: Socket) => void,
): Promise<readonly RequestsEvent[]> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      script(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const events: RequestsEvent[] = [];
  await new Promise<void>((resolve) => {
    const client = createEndpointClient(CODEC, (event) => {
      events.push(event);
      if (event.kind === 'answer-ended' || event.kind === 'attempt-failed') resolve();
    });
    client.open(buildOrder((server.address() as AddressInfo).port));
  });
  return events;
};

const collectBody = (events: readonly RequestsEvent[]): string =>
  events
    .map((event) => (event.kind === 'answer-continued' ? Buffer.from(event.bytes).toString() : ''))
    .join('');

const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\n';

// Guards against an answer without a length that was reset and is passed on as complete.
test('an answer without a length that is reset is broken', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.write(`${NO_LENGTH}part`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const last = events.at(-1);
  t.is(last?.kind, 'attempt-failed');
  t.is(last?.kind === 'attempt-failed' ? last.failure.kind : '', 'broken');
});

// Guards against the loss of an answer that ends with its connection, as the protocol allows.
test('an answer without a length ends with its connection', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end(`${NO_LENGTH}whole`);
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'whole');
});

// Guards against bytes after the answer that end a request which was answered in full.
test('bytes after a complete answer are left out', async (t) => {
  const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab';
  const events = await runAttempt(t, (socket) => {
    socket.end(`${whole}${whole}`);
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'ab');
});

// Guards against a truncated answer that is taken for a complete one.
test('an answer shorter than its length is broken', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab');
  });
  t.is(events.at(-1)?.kind, 'attempt-failed');
});

// Guards against bytes that are no answer being counted as a connection that broke.
test('bytes that are no answer are garbled', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end('\x00\x01 this is no answer\r\n\r\n');
  });
  const last = events.at(-1);
  t.is(last?.kind === 'attempt-failed' ? last.failure.kind : '', 'garbled');
});

// Guards against a request that never left being taken for one that may have run.
test('a refused connection is unreachable', async (t) => {
  const events: RequestsEvent[] = [];
  const free = createServer();
  const port = await new Promise<number>((resolve) => {
    free.listen(0, '127.0.0.1', () => {
      resolve((free.address() as AddressInfo).port);
    });
  });
  await new Promise((resolve) => free.close(resolve));
  await new Promise<void>((resolve) => {
    createEndpointClient(CODEC, (event) => {
      events.push(event);
      resolve();
    }).open(buildOrder(port));
  });
  const [first] = events;
  t.is(first?.kind === 'attempt-failed' ? first.failure.kind : '', 'unreachable');
});
