import test from 'ava';
import { createGateLogic } from './gate.js';
import { createVirtualClock } from '../../core/clock.js';
import type { FrontendEvent } from '../events.js';

const DRAIN_MS = 5_000;
const DRAIN: FrontendEvent = { to: 'frontend', kind: 'drain-started', reason: 'stop requested' };
const CHECKED: FrontendEvent = { to: 'frontend', kind: 'drain-checked', reads: 'done' };

// Guards against a draining daemon that admits requests again and never ends, because its frontend was
// restarted meanwhile.
test('a restarted frontend goes on with the drain', (t) => {
  const clock = createVirtualClock(0);
  const logic = createGateLogic({
    now: clock.now,
    drain: { startedAt: null },
    drainMs: DRAIN_MS,
    handOverGraceMs: 1_000,
    countOpen: () => 1,
  });
  t.deepEqual(logic.init(), { state: { phase: 'accepting' }, effects: [] });
  logic.decide(logic.init().state, DRAIN);
  clock.advance(2_000);
  const restarted = logic.init();
  t.deepEqual(restarted.state, { phase: 'draining', since: 0 });
  t.deepEqual(
    restarted.effects.map(({ kind }) => kind),
    ['schedule'],
  );
  clock.advance(DRAIN_MS - 2_000);
  t.is(logic.decide(restarted.state, CHECKED).state.phase, 'handing-over');
});

// Guards against answers that have arrived and are replaced by failures: a process that had no processor
// runs its timers before it reads.
test('open requests are ended after all that has arrived has been read', (t) => {
  const clock = createVirtualClock(0);
  const logic = createGateLogic({
    now: clock.now,
    drain: { startedAt: null },
    drainMs: DRAIN_MS,
    handOverGraceMs: 1_000,
    countOpen: () => 1,
  });
  const due: FrontendEvent = { to: 'frontend', kind: 'drain-checked', reads: 'due' };
  let { state } = logic.decide(logic.init().state, DRAIN);
  const post = (event: FrontendEvent): readonly string[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects.map(({ kind }) => kind);
  };
  clock.advance(DRAIN_MS);
  t.deepEqual(post(due), ['post-after-reads']);
  t.deepEqual(post(CHECKED), ['post', 'schedule']);
  clock.advance(1_000);
  t.deepEqual(post(due), ['post-after-reads']);
  t.deepEqual(post(CHECKED), ['end-process']);
});
