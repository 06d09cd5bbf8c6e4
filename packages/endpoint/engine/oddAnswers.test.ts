import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createEngineClient } from './engineClient.js';
import { createSystemClock } from '../../core/clock.js';
import type { EndpointEvent, ServiceCall } from '../types.js';

/** How the connection ends after the bytes of an answer; `RST with bytes` arrives together with them. */
type End = 'FIN' | 'RST' | 'RST with bytes';

/** Time for the bytes to arrive before the connection ends, in ms. */
const END_DELAY_MS = 30;

const endConnection = (socket: Socket, end: End): void => {
  if (end === 'FIN') socket.end();
  else socket.resetAndDestroy();
};

/** Calls a service that answers with the bytes and then ends its connection. */
const startCall = async (t: ExecutionContext, bytes: string, end: End) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(Buffer.from(bytes, 'latin1'));
      if (end === 'RST with bytes') {
        endConnection(socket, end);
        return;
      }
      setTimeout(() => {
        endConnection(socket, end);
      }, END_DELAY_MS);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port.toString()}`;
  const event = await new Promise<EndpointEvent>((resolve) => {
    const client = createEngineClient(url, createSystemClock(), resolve);
    t.teardown(async () => {
      await client.close();
      server.close();
    });
    const call = { callId: 'c', method: 'GET', path: '/a', headers: [], body: new Uint8Array() };
    client.callService({ ...call, deadlineAt: Date.now() + 5_000 } as unknown as ServiceCall);
  });
  return event;
};

const OK = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';
const CHUNKED = `${OK}${CLOSE}Transfer-Encoding: chunked\r\n\r\n`;

const ANY_RESET = ['RST', 'RST with bytes'] as const;
const ANY_END = ['FIN', ...ANY_RESET] as const;

// Guards against an answer that was broken off and that the caller gets as a whole success.
for (const [name, bytes, ends] of [
  ['the status line', OK, ANY_END],
  ['a header', `${OK}Content-Ty`, ANY_END],
  ['the length', `${OK}Content-Length: 5`, ANY_END],
  ['the head', `${OK}Content-Length: 5\r\n`, ANY_END],
  ['a body with a length', `${OK}Content-Length: 5\r\n\r\nab`, ANY_END],
  ['a last body with a length', `${OK}${CLOSE}Content-Length: 5\r\n\r\nab`, ANY_END],
  ['a body without framing', `${OK}\r\nab`, ANY_RESET],
  ['a last body without framing', `${OK}${CLOSE}\r\nab`, ANY_RESET],
  ['a body of HTTP/1.0', 'HTTP/1.0 200 OK\r\n\r\nab', ANY_RESET],
  ['a chunk', `${CHUNKED}5\r\nab`, ANY_END],
  ['the chunks', `${CHUNKED}2\r\nab\r\n`, ANY_END],
  ['the last chunk', `${CHUNKED}2\r\nab\r\n0\r\n`, ANY_END],
] as const) {
  for (const end of ends) {
    test(`an answer that is cut in ${name} by ${end} is a failure`, async (t) => {
      t.is((await startCall(t, bytes, end)).kind, 'service-failed');
    });
  }
}

// Guards against the loss of a valid answer: HTTP lets an answer without a length end when its
// connection closes.
test('an answer without a length is complete when its connection closes', async (t) => {
  const event = await startCall(t, `${OK}\r\nwhole`, 'FIN');
  t.is(event.kind, 'service-answered');
  if (event.kind !== 'service-answered') return;
  t.is(Buffer.from(event.answer.body).toString(), 'whole');
});

// Guards against an answer that is none in HTTP: the entry daemon that was to send it on threw and
// ended.
for (const [name, head] of [
  ['status 042', 'HTTP/1.1 042 X\r\n'],
  ['status 000', 'HTTP/1.1 000 X\r\n'],
  ['status 101', 'HTTP/1.1 101 X\r\n'],
  ['status 1000', 'HTTP/1.1 1000 X\r\n'],
  ['a zero byte in its type', `${OK}Content-Type: a\0b\r\n`],
  ['two lengths', `${OK}Content-Length: 3\r\n`],
  ['chunks and a length', `${OK}Transfer-Encoding: chunked\r\n`],
] as const) {
  test(`an answer with ${name} is a failure`, async (t) => {
    const event = await startCall(t, `${head}Content-Length: 2\r\n\r\nab`, 'FIN');
    t.is(event.kind, 'service-failed');
  });
}
