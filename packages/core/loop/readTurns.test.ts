import test from 'ava';
import { createReadTurns } from './readTurns.js';

const createSource = () => {
  const calls: string[] = [];
  return {
    calls,
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
  };
};

// Guards against turns of the event loop that last for as long as some connections have bytes.
test('sources above the limit of a turn go on in the next turn', async (t) => {
  const turns = createReadTurns(100, 15);
  const [first, second] = [createSource(), createSource()];
  turns.record(first, 60);
  turns.record(second, 60);
  turns.record(first, 10);
  t.deepEqual([first.calls, second.calls], [['pause'], ['pause']]);
  await new Promise(setImmediate);
  t.deepEqual(
    [first.calls, second.calls],
    [
      ['pause', 'resume'],
      ['pause', 'resume'],
    ],
  );
  turns.record(first, 60);
  t.deepEqual(first.calls, ['pause', 'resume']);
});

// Guards against a limit that small answers of many turns use up.
test('what many turns bring is renewed', async (t) => {
  const turns = createReadTurns(100);
  const source = createSource();
  for (let count = 0; count < 50; count += 1) {
    turns.record(source, 20);
    await new Promise(setImmediate);
  }
  t.deepEqual(source.calls, []);
});

// Guards against turns that are as long as there are sources: each that is resumed brings bytes at once.
test('paused sources are resumed in their order, as many in a turn as fit into it', async (t) => {
  const turns = createReadTurns(100, 25);
  const sources = Array.from({ length: 5 }, createSource);
  for (const source of sources) turns.record(source, 100);
  const countResumed = (): number => sources.filter(({ calls }) => calls.includes('resume')).length;
  const resumed: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise(setImmediate);
    resumed.push(countResumed());
  }
  t.deepEqual(resumed, [2, 4, 5]);
});
