import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createEngineClient } from './engineClient.js';
import type { EngineClient } from './engineClient.js';
import { createSystemClock, createVirtualClock } from '../../core/clock.js';
import type { EndpointEvent, GenerateCall, ServiceCall } from '../types.js';

/** Size at which the server stops, so that a client without a bound fails the test by its size. */
const MAX_SENT_BYTES = 24 * 1024 * 1024;

const writeWithoutEnd = (response: ServerResponse, piece: string): void => {
  let sent = 0;
  const write = (): void => {
    while (!response.destroyed && sent < MAX_SENT_BYTES) {
      sent += piece.length;
      if (!response.write(piece)) {
        response.once('drain', write);
        return;
      }
    }
    response.end();
  };
  write();
};

/** Runs one action against an endpoint whose answers have no end; resolves to the first event. */
const runEndless = async (
  t: ExecutionContext,
  piece: string,
  act: (client: EngineClient) => void,
): Promise<EndpointEvent> => {
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.writeHead(200);
    writeWithoutEnd(response, piece);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port.toString()}`;
  const event = await new Promise<EndpointEvent>((resolve) => {
    const client = createEngineClient(url, createSystemClock(), resolve);
    t.teardown(() => client.close());
    act(client);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return event;
};

const PIECE = 'x'.repeat(64 * 1024);

const GENERATE_CALL = {
  callId: 'c-1',
  requestId: 'r-1',
  className: 'memo',
  route: 'memo',
  body: Buffer.from('{}'),
} as unknown as GenerateCall;

const SERVICE_CALL = {
  callId: 'c-1',
  method: 'GET',
  path: '/a',
  headers: [],
  body: new Uint8Array(),
  deadlineAt: Date.now() + 30_000,
} as unknown as ServiceCall;

// Guards against an endpoint whose answer never ends and fills the memory of its daemon.
test('answers of the endpoint without end are cut', async (t) => {
  const health = await runEndless(t, PIECE, (client) => {
    client.fetchHealth();
  });
  t.is(health.kind, 'health-failed');
  const call = await runEndless(t, PIECE, (client) => {
    client.callService(SERVICE_CALL);
  });
  t.is(call.kind, 'service-failed');
  for (const piece of [PIECE, `: ${PIECE}\n\n`]) {
    const stream = await runEndless(t, piece, (client) => {
      client.startGeneration('g-1', GENERATE_CALL, 1);
    });
    t.is(stream.kind, 'engine-failed');
  }
});

// Guards against a call that waited in a paused process and is then sent to the service past its
// deadline, when nobody waits for the answer any more.
test('a call whose deadline has passed is not sent to the service', async (t) => {
  let requests = 0;
  const server = createServer((_request, response) => {
    requests += 1;
    response.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port.toString()}`;
  const clock = createVirtualClock();
  const send = (): Promise<EndpointEvent> =>
    new Promise((resolve) => {
      const client = createEngineClient(url, clock, resolve);
      t.teardown(client.close);
      client.callService({ ...SERVICE_CALL, deadlineAt: 30_000 });
    });
  clock.advance(29_000);
  t.is((await send()).kind, 'service-answered');
  clock.advance(1_000);
  const late = await send();
  t.like(late, {
    kind: 'service-failed',
    failure: { verdict: 'not-run', code: 'deadline-exceeded' },
  });
  t.is(requests, 1);
});

// Guards against a daemon that ends because its engine refuses connections.
test('an engine that refuses connections is reported as unreachable', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const event = await new Promise<EndpointEvent>((resolve) => {
    const url = `http://127.0.0.1:${port.toString()}`;
    const client = createEngineClient(url, createSystemClock(), resolve);
    t.teardown(client.close);
    client.fetchHealth();
  });
  t.is(event.kind, 'health-failed');
});
