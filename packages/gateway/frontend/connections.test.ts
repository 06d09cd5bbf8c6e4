import test from 'ava';
import { ANSWER_HEAD, formatRequest, startCallerServer } from './callerServer.fixture.js';
import type { CallerHarness } from './callerServer.fixture.js';
import { MAX_CALLER_BACKLOG_BYTES, MAX_LISTED_REQUESTS } from './constants.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';

const LARGE_BYTES = 8 * 1024 * 1024;

const applyLimits = (idleTimeoutMs: number, headerTimeoutMs = 60_000): GatewayEffect => ({
  kind: 'apply-limits',
  idleTimeoutMs,
  headerTimeoutMs,
  maxBodyBytes: LARGE_BYTES,
});

const openAttempt = (key: number): GatewayEffect => ({
  kind: 'open-attempt',
  order: { key, attempt: 1 } as AttemptOrder,
});

const sendAnswer = async ({ perform, waitForRequest }: CallerHarness, id: string) => {
  const { key } = await waitForRequest(id);
  perform({ kind: 'send-whole', key, head: ANSWER_HEAD, body: [Buffer.from(`answer to ${id}`)] });
};

const startAnswer = async ({ perform, waitForRequest }: CallerHarness, id: string) => {
  const { key } = await waitForRequest(id);
  perform({ kind: 'start-answer', key, head: ANSWER_HEAD });
  perform({ kind: 'write-answer', key, bytes: Buffer.from(`part for ${id}`) });
  return key;
};

// Guards against lines about requests that were answered, in which the others would be lost.
test('an answered request and an idle close are counted and not logged', async (t) => {
  const harness = await startCallerServer(t);
  harness.perform(applyLimits(50));
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await sendAnswer(harness, 'r-1');
  await caller.waitForText('answer to r-1');
  await harness.waitForCount('idle-timeout idle');
  await caller.waitForClose();
  t.deepEqual(harness.counted, ['idle-timeout idle']);
  t.deepEqual(harness.events, []);
});

// Guards against a paused process that closes connections whose next request it has not read, and
// whose closes look like any other.
test('an idle close that comes late is counted apart', async (t) => {
  const harness = await startCallerServer(t);
  harness.perform(applyLimits(50));
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await sendAnswer(harness, 'r-1');
  await caller.waitForText('answer to r-1');
  harness.clock.advance(5_000);
  await harness.waitForCount('idle-timeout idle-late');
  t.deepEqual(harness.events, []);
});

// Guards against a caller that gave up and is taken for a request that the daemon cut.
test('a caller that closes before its answer is named as the cause', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1', 'body'));
  const { key } = await harness.waitForRequest('r-1');
  harness.perform(openAttempt(key));
  harness.clock.advance(40);
  caller.socket.end();
  const event = await harness.waitForEvent('request-abandoned');
  t.is(event.requestId, 'r-1');
  t.like(event.data, {
    cause: 'caller',
    phase: 'awaiting-answer',
    headMs: 40,
    lastReadMs: 40,
    lastWriteMs: -1,
    bytesWritten: 0,
    attempts: 1,
    earlierRequests: 0,
  });
});

// Guards against a reset in the middle of an answer that is taken for a fault of the daemon.
test('a caller that resets its connection during the answer is named as the cause', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await startAnswer(harness, 'r-1');
  await caller.waitForText('part for r-1');
  caller.socket.resetAndDestroy();
  const { data } = await harness.waitForEvent('request-abandoned');
  t.like(data, { cause: 'caller', phase: 'answering', lastWriteMs: 0 });
  t.true(Number(data?.['bytesWritten']) > 0);
});

// Guards against a body that was never sent completely and is taken for a request that was read.
test('a caller that closes inside its body leaves a request in reading-body', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.socket.end(formatRequest('r-1', 'part', 100));
  const { data } = await harness.waitForEvent('request-abandoned');
  t.like(data, { cause: 'caller', phase: 'reading-body', attempts: 0 });
});

// Guards against a head that arrives too slowly and whose connection ends without a line.
test('a close at the header timeout is logged', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-0'));
  await sendAnswer(harness, 'r-0');
  await caller.waitForText('answer to r-0');
  // The time of a first head begins with its connection, that of a later one with its first byte.
  harness.perform(applyLimits(60_000, 20));
  caller.send('POST /r-1 HT');
  const { data } = await harness.waitForEvent('request-cut');
  t.like(data, { cause: 'header-timeout', phase: 'awaiting-head', headBytes: 12 });
});

// Guards against stray bytes inside a body that end its request without a line about it. A request that
// has been read whole is answered first (pipelining.test.ts).
test('bytes that are no chunk end the request that is being read as unreadable', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send('POST /r-1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
  caller.send('no chunk\r\n');
  const event = await harness.waitForEvent('request-cut');
  t.is(event.requestId, 'r-1');
  t.like(event.data, { cause: 'unreadable', phase: 'reading-body' });
});

// Guards against a stream that the daemon ends early, and which is taken for a caller that left.
test('an answer that cannot be completed is logged with the configuration that it met', async (t) => {
  const harness = await startCallerServer(t);
  harness.perform(applyLimits(60_000));
  harness.clock.advance(100);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  const key = await startAnswer(harness, 'r-1');
  harness.setVersion(2);
  harness.perform(applyLimits(60_000));
  harness.clock.advance(30);
  harness.setGate({ phase: 'draining', drainedAt: harness.clock.now() - 10 });
  harness.perform({ kind: 'break-answer', key });
  const { data } = await harness.waitForEvent('request-cut');
  t.like(data, {
    cause: 'answer-broken',
    phase: 'answering',
    headMs: 30,
    versionAtArrival: 1,
    version: 2,
    sinceVersionMs: 30,
    gate: 'draining',
    drainedMs: 10,
  });
});

// Guards against a stream that is closed for its slow caller, and which is taken for a lost one.
test('a caller that does not read its answer is named as the cause', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  const { key } = await harness.waitForRequest('r-1');
  caller.socket.pause();
  harness.perform({ kind: 'start-answer', key, head: ANSWER_HEAD });
  const bytes = Buffer.alloc(MAX_CALLER_BACKLOG_BYTES);
  while (harness.responders.has(key)) harness.perform({ kind: 'write-answer', key, bytes });
  const { data } = await harness.waitForEvent('request-cut');
  t.like(data, { cause: 'slow-caller', phase: 'answering' });
});

// Guards against answers that end with a failed child, without a line that names them.
test('a started answer that loses its state is logged', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await startAnswer(harness, 'r-1');
  harness.perform({ kind: 'reset-requests' });
  const { data } = await harness.waitForEvent('request-cut');
  t.like(data, { cause: 'state-lost', phase: 'answering' });
});

// Guards against a request behind the last answer of its connection, of which no line tells. It is not
// parsed before the answer has been sent, so the line has its bytes and not its id.
test('a request that follows the last answer on its connection is logged', async (t) => {
  const harness = await startCallerServer(t);
  harness.responders.startDrain();
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  const { key } = await harness.waitForRequest('r-1');
  harness.perform({ kind: 'start-answer', key, head: ANSWER_HEAD });
  harness.perform({ kind: 'write-answer', key, bytes: Buffer.from('part') });
  await caller.waitForText('part');
  caller.send(formatRequest('r-2'));
  // Once the server has read this request, it has read the one before it, too.
  const other = harness.openCaller();
  other.send(formatRequest('r-3'));
  await harness.waitForRequest('r-3');
  harness.perform({ kind: 'end-answer', key });
  const event = await harness.waitForEvent('request-cut');
  t.like(event.data, {
    cause: 'last-answer',
    phase: 'awaiting-head',
    headBytes: formatRequest('r-2').length,
    earlierRequests: 1,
  });
  t.deepEqual(harness.listArrivals(), ['r-1', 'r-3']);
});

// Guards against an answer that the end of the drain truncates, since its connection appears idle.
test('an answer that is not flushed at the end of the drain is logged', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  const { key } = await harness.waitForRequest('r-1');
  caller.socket.pause();
  const body = Buffer.alloc(4 * LARGE_BYTES);
  harness.perform({ kind: 'send-whole', key, head: ANSWER_HEAD, body: [body] });
  harness.perform({ kind: 'close-idle' });
  const event = await harness.waitForEvent('request-cut');
  t.is(event.requestId, 'r-1');
  t.like(event.data, { cause: 'drain-ended', phase: 'flushing' });
});

// Guards against a connection that the HTTP server closes for a reason nobody thought of.
test('a close without a known cause is logged as unknown', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send('CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n');
  const { data } = await harness.waitForEvent('request-cut');
  t.like(data, { cause: 'unknown', phase: 'awaiting-head' });
});

// Guards against requests that the exit of the process cuts before their connections emit `close`.
test('the end of the process lists the requests that it cuts, by phase', async (t) => {
  const harness = await startCallerServer(t);
  const partial = harness.openCaller();
  partial.send(formatRequest('r-partial', 'part', 100));
  const begun = harness.openCaller();
  begun.send(formatRequest('r-begun'));
  await startAnswer(harness, 'r-begun');
  const ids = Array.from({ length: MAX_LISTED_REQUESTS }, (_, index) => `r-${index.toString()}`);
  for (const id of ids) harness.openCaller().send(formatRequest(id));
  await Promise.all(ids.map((id) => harness.waitForRequest(id)));
  harness.closeServer();
  const cut = harness.events.filter(({ name }) => name === 'request-cut');
  t.is(cut.length, MAX_LISTED_REQUESTS + 2);
  t.true(cut.every(({ data }) => data?.['cause'] === 'process-ended'));
  const left = harness.events.find(({ name }) => name === 'requests-left');
  t.like(left?.data, {
    total: MAX_LISTED_REQUESTS + 2,
    'reading-body': 1,
    'awaiting-answer': MAX_LISTED_REQUESTS,
    answering: 1,
    flushing: 0,
  });
  t.is((left?.data?.['requestIds'] as readonly string[]).length, MAX_LISTED_REQUESTS);
  await partial.waitForClose();
  t.is(harness.events.filter(({ name }) => name === 'request-cut').length, cut.length);
});
