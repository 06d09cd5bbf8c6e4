import test from 'ava';
import {
  CLOSE_IDLE_GRACE_MS,
  DRAIN_CHECK_MS,
  FINAL_ANSWER_GRACE_MS,
  GRACE_MARGIN_MS,
  MAX_LATE_READS,
  MIN_DRAIN_MS,
} from './constants.js';
import { computeDrain, createGateLogic } from './gate.js';
import type { GateState } from './gate.js';
import { createVirtualClock } from '../../core/clock.js';
import type { GatewayEffect } from '../effects.js';
import type { FrontendEvent } from '../events.js';

/** A check after all that had arrived has been read. */
const CHECKED: FrontendEvent = { to: 'frontend', kind: 'drain-checked', reads: 'done' };

/** A check that a timer has started. */
const DUE: FrontendEvent = { ...CHECKED, reads: 'due' };

const createHarness = (
  open: { count: number },
  getStopOrderedAt: () => number | null = () => null,
) => {
  const clock = createVirtualClock(0);
  const logic = createGateLogic({
    clock,
    getStopOrderedAt,
    getGraceMs: () => 8_000,
    countOpen: () => open.count,
  });
  const first = logic.init();
  let { state }: { state: GateState } = first;
  const decide = (event: FrontendEvent): readonly GatewayEffect[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  return {
    clock,
    started: first.effects.map(({ kind }) => kind),
    getDrain: () => computeDrain(state, clock.now(), 8_000),
    post: (event: FrontendEvent) => decide(event).map(({ kind }) => kind),
    /** Runs the checks of the drain until the process ends; each timer is late by `lateMs`. */
    runChecks: (lateMs: number) => {
      let effects = decide(DUE);
      while (!effects.some(({ kind }) => kind === 'end-process')) {
        const timer = effects.find((effect) => effect.kind === 'schedule');
        clock.advance(timer === undefined ? 0 : timer.delayMs + lateMs);
        effects = decide(timer === undefined ? CHECKED : DUE);
      }
    },
  };
};

/** Time by which a timer of a busy daemon is late. */
const LATE_TIMER_MS = 10;

/** Time for closing the servers and ending the process. */
const RESERVE_MS = 150;

// Guards against a daemon that ends before the load balancer has noticed its drain, which breaks
// new connections.
test('an idle daemon keeps running until the load balancer has probed it twice', (t) => {
  const harness = createHarness({ count: 0 });
  t.true(harness.post({ to: 'frontend', kind: 'drain-started' }).includes('log'));
  harness.clock.advance(MIN_DRAIN_MS - 10);
  t.deepEqual(harness.post(CHECKED), ['schedule']);
  harness.clock.advance(20);
  t.deepEqual(harness.post(CHECKED), ['post', 'schedule']);
  harness.clock.advance(100);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'schedule']);
  harness.clock.advance(1_000);
  t.deepEqual(harness.post(CHECKED), ['end-process']);
});

// Guards against requests and answers that have arrived and are not read: a process that had no processor
// runs its timers before it reads, and all steps of the end are overdue then.
test('each step of the end waits until all that has arrived has been read', (t) => {
  const open = { count: 3 };
  const harness = createHarness(open);
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(7_700);
  t.deepEqual(harness.post(DUE), ['post-after-reads']);
  t.deepEqual(harness.post(CHECKED), ['post', 'post-after-reads']);
  t.deepEqual(harness.post(DUE), ['post-after-reads']);
  open.count = 0;
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'post-after-reads']);
  t.deepEqual(harness.post(DUE), ['post-after-reads']);
  t.deepEqual(harness.post(CHECKED), ['end-process']);
});

// Guards against a request that waits behind another one on its connection and is cut without an answer
// when a late process ends (plannedStop.test.ts, second in a pipeline): it is read once that one is answered.
test('a late daemon reads on for a while as long as answers are due', (t) => {
  const open = { count: 3 };
  const harness = createHarness(open);
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(7_700);
  harness.post(CHECKED);
  for (let reads = 0; reads < MAX_LATE_READS; reads += 1)
    t.deepEqual(harness.post(CHECKED), ['post-after-reads']);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'post-after-reads']);
});

// Guards against a daemon that ends with a request that was read at the last moment.
test('a daemon that has drained goes on with a request that it reads before it ends', (t) => {
  const open = { count: 0 };
  const harness = createHarness(open);
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(MIN_DRAIN_MS);
  t.deepEqual(harness.post(DUE), ['post-after-reads']);
  open.count = 1;
  t.deepEqual(harness.post(CHECKED), ['schedule']);
});

// Guards against a daemon that is killed before it has reported the requests in progress, and against
// requests that are cut without an answer because the grace period is over.
test('a busy daemon answers what is left and stops before its grace period ends', (t) => {
  const harness = createHarness({ count: 3 });
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(8_000 - GRACE_MARGIN_MS - 10);
  t.deepEqual(harness.post(CHECKED), ['schedule']);
  harness.clock.advance(20);
  t.deepEqual(harness.post(CHECKED), ['post', 'schedule']);
  t.deepEqual(harness.getDrain(), { drainedMs: 8_000 - GRACE_MARGIN_MS + 10, leftMs: 0 });
  t.deepEqual(harness.post(CHECKED), ['schedule']);
  harness.clock.advance(FINAL_ANSWER_GRACE_MS);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'schedule']);
  harness.clock.advance(CLOSE_IDLE_GRACE_MS);
  t.deepEqual(harness.post(CHECKED), ['end-process']);
  t.true(harness.clock.now() < 8_000);
});

// Guards against a request that is passed on by a daemon without work, shortly before it ends.
test('a daemon that has drained early leaves no time for further requests', (t) => {
  const harness = createHarness({ count: 0 });
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(MIN_DRAIN_MS);
  t.deepEqual(harness.post(CHECKED), ['post', 'schedule']);
  t.is(harness.getDrain()?.leftMs, 0);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'schedule']);
  t.is(harness.getDrain()?.leftMs, 0);
});

// Guards against a daemon that is killed in the middle of its last answers, because each step of the
// end of its drain is noticed a check later.
test('a busy daemon ends within its grace period when each check comes late', (t) => {
  const harness = createHarness({ count: 3 });
  harness.post({ to: 'frontend', kind: 'drain-started' });
  let kinds: readonly string[] = [];
  while (!kinds.includes('end-process')) {
    harness.clock.advance(DRAIN_CHECK_MS + LATE_TIMER_MS);
    kinds = harness.post(CHECKED);
  }
  t.true(harness.clock.now() <= 8_000 - RESERVE_MS);
});

// Guards against a stop under load that outlives its grace period (planned soak, seed 26001): each step
// of the end of a drain waited for a timer of its own, and every one of them came late.
test('late timers delay the end of a drain once, not at each of its steps', (t) => {
  for (const lateMs of [50, 150, 250, 350]) {
    const harness = createHarness({ count: 3 });
    harness.post({ to: 'frontend', kind: 'drain-started' });
    harness.runChecks(lateMs);
    t.true(harness.clock.now() <= 8_000, `${lateMs.toString()}: ${harness.clock.now().toString()}`);
  }
});

// Guards against a drain that begins late: the platform counts the grace period from the signal, not
// from the time at which a busy daemon handles it.
test('the drain counts from the order to stop', (t) => {
  let orderedAt: number | null = null;
  const harness = createHarness({ count: 0 }, () => orderedAt);
  orderedAt = 1_000;
  harness.clock.advance(1_500);
  harness.post({ to: 'frontend', kind: 'drain-started' });
  t.is(harness.getDrain()?.drainedMs, 500);
});

// Guards against a draining daemon that reports that it is ready and is killed at the end of its grace
// period, because its frontend was restarted meanwhile.
test('a restarted frontend goes on with the drain', (t) => {
  const harness = createHarness({ count: 0 }, () => 0);
  harness.clock.advance(MIN_DRAIN_MS);
  t.deepEqual(harness.getDrain(), {
    drainedMs: MIN_DRAIN_MS,
    leftMs: 8_000 - GRACE_MARGIN_MS - MIN_DRAIN_MS,
  });
  t.deepEqual(harness.started, ['schedule']);
  t.deepEqual(harness.post(CHECKED), ['post', 'schedule']);
});
