import test from 'ava';
import {
  ANSWER_HEAD,
  checkReceived,
  createTestMemory,
  formatRequest,
  startCallerServer,
} from './callerServer.fixture.js';
import type { CallerHarness } from './callerServer.fixture.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';

const LONG_IDLE_MS = 15_000;
const SHORT_IDLE_MS = 50;

/** Longer than the short idle timeout and its margin. */
const BLOCKED_MS = 1_300;

const applyIdleTimeout = ({ perform }: CallerHarness, idleTimeoutMs: number): void => {
  perform({ kind: 'apply-limits', idleTimeoutMs, headerTimeoutMs: 60_000, maxBodyBytes: 1_000 });
};

const sendAnswer = async ({ perform, waitForRequest }: CallerHarness, id: string) => {
  const { key } = await waitForRequest(id);
  perform({ kind: 'send-whole', key, head: ANSWER_HEAD, body: [Buffer.from(`answer to ${id}`)] });
};

const runTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Blocks the event loop, as a process without processor time does. */
const holdLoop = (durationMs: number): void => {
  Atomics.wait(
    new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)),
    0,
    0,
    durationMs,
  );
};

// Guards against a request that gets neither an answer nor a refusal beside a change of the
// configuration: the idle timeout became shorter while the request before it was open, whose answer
// stated a longer time to the caller.
test('a connection stays open for the time that its last answer stated', async (t) => {
  const harness = await startCallerServer(t);
  applyIdleTimeout(harness, LONG_IDLE_MS);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await harness.waitForRequest('r-1');
  applyIdleTimeout(harness, SHORT_IDLE_MS);
  await sendAnswer(harness, 'r-1');
  await caller.waitForText('Keep-Alive: timeout=15');
  // Its answer comes later and states the short time.
  const other = harness.openCaller();
  other.send(formatRequest('r-2'));
  await sendAnswer(harness, 'r-2');
  await other.waitForClose();
  caller.send(formatRequest('r-3'));
  await sendAnswer(harness, 'r-3');
  await caller.waitForText('answer to r-3');
  t.deepEqual(harness.counted, ['idle-timeout idle']);
});

// Guards against a request that has arrived and gets no answer, because the process was busy when the
// idle timer of its connection expired, and closed the connection before it read.
test('a request that has arrived is read before its idle connection is closed', async (t) => {
  const harness = await startCallerServer(t);
  applyIdleTimeout(harness, SHORT_IDLE_MS);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await sendAnswer(harness, 'r-1');
  await caller.waitForText('answer to r-1');
  caller.send(formatRequest('r-2'));
  holdLoop(BLOCKED_MS);
  await sendAnswer(harness, 'r-2');
  await caller.waitForText('answer to r-2');
  t.deepEqual(harness.events, []);
});

// Guards against a request that has arrived and gets no answer, because the daemon closes its idle
// connections at the end of its drain.
test('a request that has arrived is read before a draining daemon closes idle connections', async (t) => {
  const harness = await startCallerServer(t);
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  await sendAnswer(harness, 'r-1');
  await caller.waitForText('answer to r-1');
  caller.send(formatRequest('r-2'));
  harness.perform({ kind: 'close-idle' });
  await sendAnswer(harness, 'r-2');
  await caller.waitForText('answer to r-2');
  t.deepEqual(harness.events, []);
});

// Guards against a request that has been read whole and waits for memory, and is cut without an answer when
// the daemon closes its idle connections (LOST): the parser of its connection has read nothing of it yet.
test('a draining daemon answers a request that waits for memory', async (t) => {
  const memory = { ...createTestMemory(), requests: createMemoryAccount(30_000) };
  const harness = await startCallerServer(t, memory);
  const kept = harness.openCaller();
  kept.send(formatRequest('r-0'));
  await sendAnswer(harness, 'r-0');
  await kept.waitForText('answer to r-0');
  const other = harness.openCaller();
  other.send(formatRequest('r-1'));
  await harness.waitForRequest('r-1');
  kept.send(formatRequest('r-2'));
  while (harness.countDue() < 2) await runTurn();
  harness.perform({ kind: 'close-idle' });
  for (let turn = 0; turn < 5; turn += 1) await runTurn();
  await sendAnswer(harness, 'r-1');
  await sendAnswer(harness, 'r-2');
  t.true(await checkReceived(kept, 'answer to r-2'));
});
