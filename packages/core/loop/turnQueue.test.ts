import test from 'ava';
import { createTurnQueue, TURN_STEPS_MS } from './turnQueue.js';

const runTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Creates a queue on a clock that only its steps advance. */
const createTestQueue = () => {
  const ran: string[] = [];
  let now = 0;
  const queue = createTurnQueue(() => now);
  const createStep = (name: string, takesMs: number, then?: () => void) => (): void => {
    ran.push(name);
    now += takesMs;
    then?.();
  };
  return { queue, ran, createStep };
};

// Guards against a turn of the event loop that runs for as long as there is work: who asks for the
// readiness of the daemon meanwhile waits for its end.
test('steps beyond the time of a turn run in later turns, in their order', async (t) => {
  const { createStep, queue, ran } = createTestQueue();
  for (const name of ['a', 'b', 'c', 'd', 'e']) queue.run(createStep(name, TURN_STEPS_MS / 2));
  t.deepEqual(ran, ['a', 'b']);
  t.is(queue.countWaiting(), 3);
  await runTurn();
  t.deepEqual(ran, ['a', 'b', 'c', 'd']);
  await runTurn();
  t.deepEqual(ran, ['a', 'b', 'c', 'd', 'e']);
  t.is(queue.countWaiting(), 0);
});

// Guards against a step with much work that keeps those of other connections waiting.
test('a step that goes on takes its place behind those that wait', async (t) => {
  const { createStep, queue, ran } = createTestQueue();
  const goOn = createStep('long', TURN_STEPS_MS, () => {
    if (ran.length < 4) queue.run(goOn);
  });
  queue.run(goOn);
  queue.run(createStep('other', 1));
  t.deepEqual(ran, ['long']);
  for (let turn = 0; turn < 4; turn += 1) await runTurn();
  t.deepEqual(ran, ['long', 'long', 'other', 'long']);
});

// Guards against one entry for each chunk of a connection, and against a recursion of steps.
test('a step that waits is not added again', async (t) => {
  const { createStep, queue, ran } = createTestQueue();
  const step = createStep('step', 1);
  queue.run(createStep('first', TURN_STEPS_MS));
  for (let count = 0; count < 3; count += 1) queue.run(step);
  t.is(queue.countWaiting(), 1);
  await runTurn();
  t.deepEqual(ran, ['first', 'step']);
});

// Guards against an error of one connection that keeps the bytes of all others for good.
test('the steps behind one that throws run', async (t) => {
  const { createStep, queue, ran } = createTestQueue();
  const fail = createStep('failing', TURN_STEPS_MS, () => {
    throw new Error('a defect');
  });
  t.throws(() => {
    queue.run(fail);
  });
  queue.run(createStep('next', 1));
  await runTurn();
  t.deepEqual(ran, ['failing', 'next']);
});

// Guards against new callers who wait behind the input of those before: each turn accepts one connection.
test('a turn that is left to others runs one step', async (t) => {
  const { createStep, queue, ran } = createTestQueue();
  for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) queue.run(createStep(name, TURN_STEPS_MS / 4));
  t.deepEqual(ran, ['a', 'b', 'c', 'd']);
  queue.run(createStep('g', TURN_STEPS_MS / 4));
  queue.yieldTurn();
  await runTurn();
  t.deepEqual(ran, ['a', 'b', 'c', 'd', 'e']);
  await runTurn();
  t.deepEqual(ran, ['a', 'b', 'c', 'd', 'e', 'f', 'g']);
});
