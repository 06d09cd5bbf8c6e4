import test from 'ava';
import { LATE_TIMER_MS } from './constants.js';
import { createLoop } from './loop.js';
import type { QueueClass } from './types.js';

interface Item {
  readonly queueClass: QueueClass;
  readonly id: number;
}

const createItemLoop = (handled: number[], capacity: number) =>
  createLoop<Item>({
    capacity,
    classify: (item) => item.queueClass,
    handle: (item) => handled.push(item.id),
    onFault: (error) => {
      throw error;
    },
  });

// Guards against a full queue that drops completions while it still accepts new requests.
test('a full queue sheds new requests first and never completions', async (t) => {
  const handled: number[] = [];
  const loop = createItemLoop(handled, 4);
  const results = [
    loop.post({ queueClass: 'new-request', id: 1 }),
    loop.post({ queueClass: 'new-request', id: 2 }),
    loop.post({ queueClass: 'new-request', id: 3 }),
    loop.post({ queueClass: 'new-request', id: 4 }),
    loop.post({ queueClass: 'report', id: 5 }),
    loop.post({ queueClass: 'report', id: 6 }),
    loop.post({ queueClass: 'completion', id: 7 }),
  ];
  t.deepEqual(results, ['queued', 'queued', 'queued', 'shed', 'queued', 'shed', 'queued']);
  await new Promise(setImmediate);
  t.deepEqual(handled, [1, 2, 3, 5, 7]);
});

// Guards against an exception of a handler that stops the loop or goes unreported.
test('an exception reaches the fault handler and the loop continues', async (t) => {
  const faults: unknown[] = [];
  const handled: number[] = [];
  const loop = createLoop<number>({
    capacity: 8,
    classify: () => 'control',
    handle: (value) => {
      if (value === 1) throw new Error('defect');
      handled.push(value);
    },
    onFault: (error) => faults.push(error),
  });
  loop.post(1);
  loop.post(2);
  await new Promise(setImmediate);
  t.is(faults.length, 1);
  t.deepEqual(handled, [2]);
});

// Guards against a long delay that overflows its timer and fires at once: a request of a route with
// a very long timeout ended as if its deadline had passed.
test('a delay that is too long for a timer does not fire at once', async (t) => {
  const handled: number[] = [];
  const loop = createItemLoop(handled, 4);
  for (const delay of [2 ** 31, Number.MAX_SAFE_INTEGER, 1e308, Infinity]) {
    loop.schedule(delay, { queueClass: 'control', id: delay });
  }
  const first = new Promise<void>((resolve) => {
    setTimeout(resolve, 20);
  });
  await first;
  loop.stop();
  t.deepEqual(handled, []);
});

// Guards against a pause of the process that nothing notices, so that what arrived meanwhile is taken
// for new.
test('a loop is late after a pause', async (t) => {
  const handled: number[] = [];
  const loop = createItemLoop(handled, 4);
  loop.schedule(1, { queueClass: 'control', id: 1 });
  t.false(loop.isLate());
  const until = performance.now() + LATE_TIMER_MS + 50;
  while (performance.now() < until);
  while (handled.length === 0) await new Promise(setImmediate);
  t.true(loop.isLate());
});
