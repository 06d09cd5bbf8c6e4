import test from 'ava';
import {
  ANSWER_HEAD,
  checkReceived,
  formatRequest,
  startCallerServer,
} from './callerServer.fixture.js';
import type { CallerHarness } from './callerServer.fixture.js';

const HEADER_TIMEOUT_MS = 30;

const sendAnswer = async ({ perform, waitForRequest }: CallerHarness, id: string) => {
  const { key } = await waitForRequest(id);
  perform({ kind: 'send-whole', key, head: ANSWER_HEAD, body: [Buffer.from(`answer to ${id}`)] });
};

// Guards against the answer 400 to a sound request, which an endpoint runs, because bytes that are no
// request follow it on its connection before it is answered.
test('bytes that are no request do not end the request before them', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}this is no request\r\n\r\n`);
  await harness.waitForRequest('r-1');
  caller.send('and more of it\r\n\r\n');
  const other = harness.openCaller();
  other.send('this is no request\r\n\r\n');
  t.true(await checkReceived(other, '400 Bad Request'));
  await sendAnswer(harness, 'r-1');
  t.true(await checkReceived(caller, 'answer to r-1HTTP/1.1 400 Bad Request'));
  await caller.waitForClose();
  t.deepEqual(harness.events, []);
});

// Guards against a request without an answer because the head of the next one on its connection is not
// completed within the header timeout.
test('a head that is not completed does not end the request before it', async (t) => {
  const harness = await startCallerServer(t);
  harness.perform({
    kind: 'apply-limits',
    idleTimeoutMs: 15_000,
    headerTimeoutMs: HEADER_TIMEOUT_MS,
    maxBodyBytes: 1_000,
  });
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}POST /r-2 HTTP/1.1\r\nHost`);
  await harness.waitForRequest('r-1');
  const other = harness.openCaller();
  other.send('POST /r-3 HTTP/1.1\r\nHost');
  await other.waitForClose();
  await sendAnswer(harness, 'r-1');
  t.true(await checkReceived(caller, 'answer to r-1'));
  await caller.waitForClose();
});

// Guards against work for a caller that has left, whose end the failed parser does not notice.
test('a caller that leaves after bytes that are no request ends its request', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}this is no request\r\n\r\n`);
  const { key } = await harness.waitForRequest('r-1');
  caller.socket.end();
  await caller.waitForClose();
  await harness.waitForEvent('request-abandoned');
  t.false(harness.responders.has(key));
});

// Guards against a request that is passed on and gets no answer, because the answer before it on its
// connection is the last one of a draining daemon.
test('a draining daemon answers all requests that it has read on a connection', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}${formatRequest('r-2')}`);
  await harness.waitForRequest('r-1');
  // Once the server has read this request, it has read those before it, too.
  const other = harness.openCaller();
  other.send(formatRequest('r-3'));
  await harness.waitForRequest('r-3');
  harness.responders.startDrain();
  await sendAnswer(harness, 'r-1');
  await sendAnswer(harness, 'r-2');
  t.true(await checkReceived(caller, 'answer to r-1'));
  t.true(await checkReceived(caller, 'answer to r-2'));
  await caller.waitForClose();
  t.deepEqual(harness.listArrivals(), ['r-1', 'r-3', 'r-2']);
});

// Guards against a request that is passed on although its connection ends with the answer before it.
test('a request behind the last answer of its connection is not passed on', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  const { key } = await harness.waitForRequest('r-1');
  harness.responders.startDrain();
  harness.perform({ kind: 'start-answer', key, head: ANSWER_HEAD });
  harness.perform({ kind: 'write-answer', key, bytes: Buffer.from('part') });
  t.true(await checkReceived(caller, 'Connection: close'));
  caller.send(formatRequest('r-2'));
  const passedOn = harness.waitForRequest('r-2').then(() => 'passed on');
  const other = harness.openCaller();
  other.send(formatRequest('r-3'));
  const next = harness.waitForRequest('r-3').then(() => 'not passed on');
  t.is(await Promise.race([passedOn, next]), 'not passed on');
  harness.perform({ kind: 'end-answer', key });
  await caller.waitForClose();
});

const CHUNKED = 'POST /r-1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNKS = '8\r\n\r\n\r\n\r\n\r\n\r\n4\r\nbody\r\n0\r\n\r\n';

// Guards against a pacing and a parser that disagree on where a request ends: the rest of a body would be
// taken for a request, or a request would wait for bytes that have come. Chunks have empty lines, and
// each message arrives at once or byte by byte.
for (const [name, first, body] of [
  ['with a length', formatRequest('r-1', '\r\n\r\nbody\r\n\r\n'), '\r\n\r\nbody\r\n\r\n'],
  ['in chunks', `${CHUNKED}${CHUNKS}`, '\r\n\r\n\r\n\r\nbody'],
  ['without a body', 'GET /r-1 HTTP/1.1\r\nHost: h\r\n\r\n', ''],
  ['behind line ends', `\r\n\r\n\r\n${formatRequest('r-1', 'body')}`, 'body'],
] as const) {
  for (const part of ['whole', 'byte'] as const) {
    test(`requests ${name} are read one after the other, ${part} by ${part}`, async (t) => {
      const harness = await startCallerServer(t);
      const caller = harness.openCaller();
      caller.socket.setNoDelay(true);
      const text = first + formatRequest('r-2', 'second') + first.replace('r-1', 'r-3');
      if (part === 'whole') caller.send(text);
      else {
        for (const byte of text) {
          caller.send(byte);
          await new Promise((resolve) => {
            setImmediate(resolve);
          });
        }
      }
      const request = await harness.waitForRequest('r-1');
      t.is(Buffer.concat(request.body).toString(), body);
      t.deepEqual(harness.listArrivals(), ['r-1']);
      for (const id of ['r-1', 'r-2', 'r-3']) await sendAnswer(harness, id);
      t.true(await checkReceived(caller, 'answer to r-3'));
      t.is(Buffer.concat((await harness.waitForRequest('r-2')).body).toString(), 'second');
      t.deepEqual(harness.listArrivals(), ['r-1', 'r-2', 'r-3']);
    });
  }
}

// Guards against a request whose deadline passed while it waited behind another one, and that is sent
// on: its time begins when its bytes are read.
test('a request behind another one was received when its bytes were read', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}${formatRequest('r-2')}`);
  const { receivedAt } = await harness.waitForRequest('r-1');
  harness.clock.advance(700);
  await sendAnswer(harness, 'r-1');
  t.is((await harness.waitForRequest('r-2')).receivedAt, receivedAt);
});

// Guards against requests that reach an endpoint although their caller has left while they waited (GONE).
test('a request behind another one is dropped when its caller leaves', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(`${formatRequest('r-1')}${formatRequest('r-2')}`);
  await harness.waitForRequest('r-1');
  await sendAnswer(harness, 'r-1');
  caller.socket.resetAndDestroy();
  const other = harness.openCaller();
  other.send(formatRequest('r-3'));
  await sendAnswer(harness, 'r-3');
  t.true(await checkReceived(other, 'answer to r-3'));
  t.deepEqual(harness.listArrivals(), ['r-1', 'r-3']);
});
