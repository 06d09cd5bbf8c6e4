import test from 'ava';
import {
  formatRequest,
  MAX_BUFFERED_BODY_BYTES,
  startCallerServer,
} from './callerServer.fixture.js';
import { DEFAULT_MAX_BODY_BYTES } from './constants.js';
import { sumLengths } from '../../core/bytes/sumLengths.js';

const LARGE_BODY = 'a'.repeat(MAX_BUFFERED_BODY_BYTES * 0.6);

const CHUNKED = 'POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';

// Guards against a daemon that exceeds its memory by the bodies of requests that it has passed on and
// that have not ended (review/5).
test('a whole body counts as buffered until its request has ended', async (t) => {
  const server = await startCallerServer(t);
  const first = server.openCaller();
  first.send(formatRequest('a', LARGE_BODY));
  const { key } = await server.waitForRequest('a');
  const second = server.openCaller();
  second.send(formatRequest('b', LARGE_BODY));
  await second.waitForText('overloaded');
  const failure = { verdict: 'not-run', code: 'no-endpoint', message: 'none' } as const;
  server.perform({ kind: 'refuse', key, failure });
  await first.waitForText('no-endpoint');
  const third = server.openCaller();
  third.send(formatRequest('c', LARGE_BODY));
  t.is(sumLengths((await server.waitForRequest('c')).body), LARGE_BODY.length);
});

// Guards against bytes that stay counted for callers that have left, until all requests are refused.
test('a body does not count after its caller has left', async (t) => {
  const server = await startCallerServer(t);
  const waitForEnds = async (count: number): Promise<void> => {
    while (server.events.length < count) await new Promise(setImmediate);
  };
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    const caller = server.openCaller();
    caller.send(formatRequest(id, LARGE_BODY));
    await server.waitForRequest(id);
    caller.socket.destroy();
    await waitForEnds(index + 1);
  }
  const partial = server.openCaller();
  partial.send(formatRequest('d', LARGE_BODY, LARGE_BODY.length + 1));
  partial.socket.destroySoon();
  await waitForEnds(4);
  const last = server.openCaller();
  last.send(formatRequest('e', LARGE_BODY));
  t.is(sumLengths((await server.waitForRequest('e')).body), LARGE_BODY.length);
});

// Guards against callers that state long bodies and send nothing: they would take the room of all others.
test('a body that has not been sent takes no room', async (t) => {
  const server = await startCallerServer(t);
  for (const id of ['a', 'b', 'c']) {
    const silent = server.openCaller();
    silent.send(formatRequest(id, 'x', LARGE_BODY.length));
    await new Promise(setImmediate);
  }
  const last = server.openCaller();
  last.send(formatRequest('d', LARGE_BODY));
  t.is(sumLengths((await server.waitForRequest('d')).body), LARGE_BODY.length);
});

// Guards against a caller that sends a long body for nothing, as its length alone exceeds what is left.
test('a body is refused by its stated length before it is sent', async (t) => {
  const server = await startCallerServer(t);
  const first = server.openCaller();
  first.send(formatRequest('a', LARGE_BODY));
  await server.waitForRequest('a');
  const second = server.openCaller();
  second.send(formatRequest('b', '', LARGE_BODY.length));
  await second.waitForText('overloaded');
  const third = server.openCaller();
  third.send(formatRequest('c', '', 100_000_000));
  await third.waitForText('too-large');
  t.pass();
});

// Guards against a body that is altered when it is collected, with a length and with chunks.
test('a body is passed on byte by byte', async (t) => {
  const server = await startCallerServer(t);
  const caller = server.openCaller();
  caller.send('POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc');
  await new Promise(setImmediate);
  caller.send('def');
  const sized = await server.waitForRequest('a');
  t.is(Buffer.concat(sized.body).toString(), 'abcdef');
  const other = server.openCaller();
  other.send(`${CHUNKED}3\r\nabc\r\n`);
  await new Promise(setImmediate);
  other.send('3\r\ndef\r\n0\r\n\r\n');
  const chunked = await server.waitForRequest('b');
  t.is(Buffer.concat(chunked.body).toString(), 'abcdef');
});

// Guards against callers without a key, or for no route, whose bodies take the memory of others.
test('a body is not kept for a request that is refused by its head', async (t) => {
  const server = await startCallerServer(t);
  server.refuseHead('a');
  server.openCaller().send(formatRequest('a', LARGE_BODY, LARGE_BODY.length + 1));
  const { body, key } = await server.waitForRequest('a');
  t.deepEqual(body, []);
  const failure = { verdict: 'not-run', code: 'unauthorized', message: 'none' } as const;
  server.perform({ kind: 'refuse', key, failure });
  t.is(server.memory.bodies.getReserved(), 0);
});

// Guards against half-sent bodies that keep the room of others for as long as their callers like.
test('a stalled body gives its room to others', async (t) => {
  const server = await startCallerServer(t);
  const stalled = server.openCaller();
  stalled.send(formatRequest('a', LARGE_BODY, LARGE_BODY.length + 1));
  while (server.memory.bodies.getReserved() < LARGE_BODY.length) await new Promise(setImmediate);
  server.clock.advance(1_000);
  server.openCaller().send(formatRequest('b', LARGE_BODY));
  t.is(sumLengths((await server.waitForRequest('b')).body), LARGE_BODY.length);
  await stalled.waitForClose();
});

// Guards against a refused caller that keeps the processor busy with a body without end.
test('a refused body is not read beyond the size limit of bodies', async (t) => {
  const server = await startCallerServer(t);
  const caller = server.openCaller();
  const chunk = `10000\r\n${'a'.repeat(0x10000)}\r\n`;
  caller.send(CHUNKED + chunk.repeat((2 * DEFAULT_MAX_BODY_BYTES) / 0x10000));
  await caller.waitForText('overloaded');
  await caller.waitForClose();
  t.deepEqual(server.counted, ['endless-body awaiting-head']);
  t.is(server.memory.bodies.getReserved(), 0);
});
