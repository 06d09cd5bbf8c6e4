import test from 'ava';
import { createCallersChild } from './callersChild.js';
import type { CallersEvent, RunPlan } from '../types.js';
import { createVirtualClock } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';

const PLAN: RunPlan = {
  stages: [{ callers: 1, rampMs: 0, settleMs: 0, measureMs: 1_000 }],
  tokens: 3,
  maxPauseMs: 10,
  ending: 'finish-streams',
};

const startCallers = () => {
  const clock = createVirtualClock(1_000);
  const logic = createCallersChild(PLAN, { now: clock.now, random: createRandomSource(1) });
  let { state } = logic.init();
  const decide = (event: CallersEvent) => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  const receive = (count: number): void => {
    decide({ kind: 'events-arrived', caller: 0, count, at: clock.now() });
  };
  decide({ kind: 'measure-begun', stage: 0 });
  decide({ kind: 'caller-due', caller: 0 });
  return { clock, decide, receive, getState: () => state };
};

// Guards against a gap that is lost when tokens arrive together, and against an end marker that is
// counted as a token.
test('tokens that arrive together are counted one by one, and the end marker is not counted', (t) => {
  const { clock, receive, getState } = startCallers();
  clock.advance(40);
  receive(1);
  clock.advance(60);
  receive(4);
  const record = getState().records[0];
  t.is(record?.tokens, 3);
  t.is(record?.firstTokens.getPercentiles().count, 1);
  t.true(Math.abs((record?.firstTokens.getPercentiles().p50 ?? 0) - 40) < 0.1);
  t.is(record?.gaps.getPercentiles().count, 2);
  t.true(Math.abs((record?.gaps.getPercentiles().max ?? 0) - 60) < 0.1);
});

// Guards against a bench that reports good latencies for truncated answers.
test('an answer with too few tokens counts as a failure', (t) => {
  const { decide, receive, getState } = startCallers();
  receive(2);
  decide({ kind: 'stream-ended', caller: 0, end: { kind: 'whole' } });
  t.is(getState().failed, 1);
  t.is(getState().finished, 0);
  t.regex(getState().failures[0] ?? '', /too short/);
});

// Guards against a run that ends before its last streams, whose load would disturb the next round.
test('a run ends once its open streams have ended', (t) => {
  const { decide, receive, getState } = startCallers();
  const effectsAtEnd = decide({ kind: 'measure-ended', stage: 0 });
  t.false(effectsAtEnd.some(({ kind }) => kind === 'done'));
  receive(3);
  const effectsAfterStream = decide({ kind: 'stream-ended', caller: 0, end: { kind: 'whole' } });
  t.deepEqual(effectsAfterStream, [{ kind: 'done' }]);
  t.is(getState().finished, 1);
});
