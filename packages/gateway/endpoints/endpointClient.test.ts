import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { buildOrder, createStatedClient, createTestClient } from './endpointClient.fixture.js';
import { CONNECT_TIMEOUT_MS } from '../../decisions/forwarding/constants.js';
import type { RequestsEvent } from '../events.js';

/**
 * Sends one attempt to a server that runs `script` on its socket, and calls `onOpened` when the
 * connection has been requested; resolves to the posted events.
 */
const runAttempt = async (
  t: ExecutionContext,
  script: (socket: Socket) => void,
  onOpened: () => void = () => undefined,
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
    const client = createTestClient((event) => {
      events.push(event);
      if (event.kind === 'attempt-connected') client.send(event.key, event.attempt, 1_000);
      if (event.kind === 'answer-ended' || event.kind === 'attempt-failed') resolve();
    });
    client.open(buildOrder((server.address() as AddressInfo).port));
    // The connection is requested in the first tick.
    process.nextTick(onOpened);
  });
  return events;
};

const collectBody = (events: readonly RequestsEvent[]): string =>
  events
    .map((event) => (event.kind === 'answer-continued' ? Buffer.from(event.bytes).toString() : ''))
    .join('');

/** Blocks the event loop, as a process without processor time does. */
const holdLoop = (durationMs: number): void => {
  const cell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  Atomics.wait(cell, 0, 0, durationMs);
};

const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\n';

// Guards against a truncated answer that counts as complete: without a length, only the reset of
// the connection shows that bytes are missing.
test('an answer without a length fails when its connection is reset', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.write(`${NO_LENGTH}part`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const last = events.at(-1);
  t.is(last?.kind, 'attempt-failed');
  t.is(last?.kind === 'attempt-failed' ? last.failure.kind : '', 'broken');
});

// Guards against a truncated answer that counts as complete, because the runtime reports a reset that
// comes together with bytes as the end of the connection.
test('an answer without a length fails when a reset comes together with its bytes', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.write(`${NO_LENGTH}part`);
    socket.resetAndDestroy();
  });
  t.is(collectBody(events), 'part');
  const last = events.at(-1);
  t.is(last?.kind === 'attempt-failed' ? last.failure.kind : last?.kind, 'broken');
});

// Guards against a complete answer that fails because its connection was reset right after it.
test('a framed answer is complete when a reset comes together with its bytes', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab');
    socket.resetAndDestroy();
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'ab');
});

// Guards against a complete answer that fails because the endpoint ended it and then closed its
// connection with a part of the request unread.
test('an answer without a length is complete when a reset comes after its end', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end(`${NO_LENGTH}whole`, () => {
      socket.resetAndDestroy();
    });
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'whole');
});

// Guards against the loss of a valid answer: HTTP lets an answer without a length end when its
// connection closes.
test('an answer without a length is complete when its connection closes', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end(`${NO_LENGTH}whole`);
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'whole');
});

// Guards against a complete answer that is reported as failed because of the bytes after it.
test('bytes after a complete answer are ignored', async (t) => {
  const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab';
  const events = await runAttempt(t, (socket) => {
    socket.end(`${whole}${whole}`);
  });
  t.is(events.at(-1)?.kind, 'answer-ended');
  t.is(collectBody(events), 'ab');
});

// Guards against a truncated answer that counts as complete.
test('an answer shorter than its length fails', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab');
  });
  t.is(events.at(-1)?.kind, 'attempt-failed');
});

// Guards against invalid bytes that are reported as a broken connection.
test('bytes that are not HTTP are reported as garbled', async (t) => {
  const events = await runAttempt(t, (socket) => {
    socket.end('\x00\x01 this is no answer\r\n\r\n');
  });
  const last = events.at(-1);
  t.is(last?.kind === 'attempt-failed' ? last.failure.kind : '', 'garbled');
});

// Guards against a request that was never sent but counts as one that may have run.
test('a refused connection is reported as unreachable', async (t) => {
  const events: RequestsEvent[] = [];
  const free = createServer();
  const port = await new Promise<number>((resolve) => {
    free.listen(0, '127.0.0.1', () => {
      resolve((free.address() as AddressInfo).port);
    });
  });
  await new Promise((resolve) => free.close(resolve));
  await new Promise<void>((resolve) => {
    createTestClient((event) => {
      events.push(event);
      resolve();
    }).open(buildOrder(port));
  });
  const [first] = events;
  t.is(first?.kind === 'attempt-failed' ? first.failure.kind : '', 'unreachable');
});

// Guards against sound endpoints that count as unreachable because the process itself got no processor
// time while the connection was established, and against the refusals that follow.
test('a connection that was established while the process was stalled counts', async (t) => {
  const events = await runAttempt(
    t,
    (socket) => {
      socket.end(`${NO_LENGTH}whole`);
    },
    () => {
      holdLoop(CONNECT_TIMEOUT_MS * 2);
    },
  );
  t.is(events[0]?.kind, 'attempt-connected');
  t.is(events.at(-1)?.kind, 'answer-ended');
});

// Guards against a request that is refused as not run although an endpoint runs it (M7): its bytes were
// sent with the connection, while the event that marks it as sent waited in the queue of a busy daemon.
test('no byte is sent before the connection has been reported and the order to send', async (t) => {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => received.push(bytes.toString()));
    socket.once('close', () => {
      server.close();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const closed = new Promise((resolve) => {
    server.once('close', resolve);
  });
  const client = createTestClient((event) => {
    // As many turns as a long queue of events takes.
    if (event.kind !== 'attempt-failed') setTimeout(() => client.cancel(1, 1), 50);
  });
  client.open(buildOrder((server.address() as AddressInfo).port));
  await closed;
  t.deepEqual(received, []);
});

/** Collects the kinds of the events of one attempt until it ends. */
const listKinds = async (t: ExecutionContext, answer: string): Promise<readonly string[]> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const kinds: string[] = [];
  await new Promise<void>((resolve) => {
    const client = createStatedClient((event) => {
      kinds.push(event.kind);
      if (event.kind === 'attempt-connected') client.send(event.key, event.attempt, 1_000);
      if (event.kind === 'answer-ended' || event.kind === 'attempt-failed') resolve();
    });
    client.open(buildOrder((server.address() as AddressInfo).port));
  });
  return kinds;
};

// Guards against what an endpoint says of itself that is decided on after the retry that it should prevent,
// or that is lost because the answer cannot be used, and against the words of another endpoint.
test('what an answer states comes before the answer, and from the endpoint that was asked', async (t) => {
  t.deepEqual(await listKinds(t, 'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'), [
    'attempt-connected',
    'endpoint-answered',
    'answer-started',
    'answer-ended',
  ]);
  t.deepEqual(await listKinds(t, 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart'), [
    'attempt-connected',
    'endpoint-answered',
    'answer-started',
    'answer-continued',
    'attempt-failed',
  ]);
  t.false((await listKinds(t, 'HTTP/1.1 421 No\r\n\r\n')).includes('endpoint-answered'));
});

// Guards against requests that reach an endpoint over half a second after their callers have left (GONE,
// KNOWN-RED 10, soak 43024): after a pause, the connection to the endpoint was reported before the end of
// the caller's connection was read, and the request was sent at once.
test('a late daemon sends nothing for a caller whose end has arrived', async (t) => {
  const arrived: Buffer[] = [];
  const endpoint = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => arrived.push(bytes));
  });
  const callers = createServer();
  for (const server of [endpoint, callers]) {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
  }
  const caller = connect((callers.address() as AddressInfo).port, '127.0.0.1');
  const [accepted] = (await once(callers, 'connection')) as [Socket];
  t.teardown(() => accepted.destroy());
  const client = createStatedClient((event) => {
    if (event.to === 'requests' && event.kind === 'attempt-connected')
      client.send(event.key, event.attempt, 1_000);
  }, 'late');
  accepted.on('close', () => {
    client.cancel(1, 1);
  });
  accepted.resume();
  client.open(buildOrder((endpoint.address() as AddressInfo).port));
  await new Promise(process.nextTick);
  caller.destroy();
  await new Promise(process.nextTick);
  holdLoop(50);
  await once(accepted, 'close');
  await sleep(50);
  t.deepEqual(arrived, []);
});
