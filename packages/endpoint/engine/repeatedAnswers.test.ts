import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createEngineClient } from './engineClient.js';
import type { EngineClient } from './engineClient.js';
import { createSystemClock } from '../../core/clock.js';
import type { EndpointEvent, GenerateCall, ServiceCall } from '../types.js';

const REFUSAL_PATH = '/v1/chat/completions';

const formatAnswer = (status: number, body: string): string =>
  `HTTP/1.1 ${status.toString()} Status\r\ncontent-length: ${body.length.toString()}\r\n\r\n${body}`;

/**
 * Answers the requests of one connection in turn. From the second on, it writes the answer to the
 * first one again before it runs the request.
 */
const serveConnection = (socket: Socket, onRun: (path: string) => void): void => {
  let first: string | null = null;
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    const path = bytes.toString().split(' ')[1] ?? '';
    if (first !== null) {
      socket.write(first);
      onRun(path);
      return;
    }
    first = path === REFUSAL_PATH ? formatAnswer(429, 'full') : formatAnswer(200, path);
    socket.write(first);
  });
};

interface FaultyService {
  readonly client: EngineClient;
  readonly waitForEvent: () => Promise<EndpointEvent>;
  /** Paths of the requests that ran after the repetition of an earlier answer. */
  readonly ran: readonly string[];
}

const startFaultyService = async (t: ExecutionContext): Promise<FaultyService> => {
  const ran: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    serveConnection(socket, (path) => ran.push(path));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port.toString()}`;
  const waiting: ((event: EndpointEvent) => void)[] = [];
  const client = createEngineClient(url, createSystemClock(), (event) => waiting.shift()?.(event));
  t.teardown(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return {
    client,
    ran,
    waitForEvent: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
      }),
  };
};

const startCall = (service: FaultyService, path: string): Promise<EndpointEvent> => {
  const event = service.waitForEvent();
  const call = { callId: path, method: 'GET', path, headers: [], body: new Uint8Array() };
  service.client.callService({ ...call, deadlineAt: Date.now() + 5_000 } as unknown as ServiceCall);
  return event;
};

// Guards against a caller that gets the answer to another call, which the service wrote again on a
// connection that was in use for the next call.
test('a repeated answer of the service does not reach the next call', async (t) => {
  const service = await startFaultyService(t);
  for (const path of ['/a', '/b', '/c']) {
    const event = await startCall(service, path);
    if (event.kind !== 'service-answered') {
      t.fail(event.kind);
      return;
    }
    t.is(Buffer.from(event.answer.body).toString(), path);
  }
});

// Guards against a generation that the engine runs and its caller is told was not run, because the
// engine wrote the refusal of the one before again.
test('a repeated refusal of the engine is not taken for that of a running generation', async (t) => {
  const service = await startFaultyService(t);
  for (const id of ['g-1', 'g-2', 'g-3', 'g-4']) {
    const event = service.waitForEvent();
    const call = { requestId: id, className: 'memo', route: 'memo', body: Buffer.from('{}') };
    service.client.startGeneration(id, call as unknown as GenerateCall, 0);
    t.like(await event, { kind: 'engine-failed', failure: { verdict: 'not-run' } });
  }
  t.deepEqual(service.ran, []);
});
