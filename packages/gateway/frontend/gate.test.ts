import test from 'ava';
import { MIN_DRAIN_MS, GRACE_MARGIN_MS } from './constants.js';
import { createGateLogic } from './gate.js';
import type { GateState } from './gate.js';
import { createVirtualClock } from '../../core/clock.js';
import type { FrontendEvent } from '../events.js';

const createHarness = (open: { count: number }) => {
  const clock = createVirtualClock(0);
  const logic = createGateLogic({ clock, getGraceMs: () => 8_000, countOpen: () => open.count });
  let state: GateState = logic.init().state;
  return {
    clock,
    post: (event: FrontendEvent) => {
      const step = logic.decide(state, event);
      ({ state } = step);
      return step.effects.map(({ kind }) => kind);
    },
  };
};

const CHECKED: FrontendEvent = { to: 'frontend', kind: 'drain-checked' };

// Guards against a daemon that ends before the load balancer has noticed its drain, which breaks
// new connections.
test('an idle daemon keeps running until the load balancer has probed it twice', (t) => {
  const harness = createHarness({ count: 0 });
  t.true(harness.post({ to: 'frontend', kind: 'drain-started' }).includes('log'));
  harness.clock.advance(MIN_DRAIN_MS - 10);
  t.deepEqual(harness.post(CHECKED), ['schedule']);
  harness.clock.advance(20);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'schedule']);
  harness.clock.advance(1_000);
  t.deepEqual(harness.post(CHECKED), ['end-process']);
});

// Guards against a daemon that is killed before it has reported the requests in progress.
test('a busy daemon stops before its grace period ends', (t) => {
  const harness = createHarness({ count: 3 });
  harness.post({ to: 'frontend', kind: 'drain-started' });
  harness.clock.advance(8_000 - GRACE_MARGIN_MS - 10);
  t.deepEqual(harness.post(CHECKED), ['schedule']);
  harness.clock.advance(20);
  t.deepEqual(harness.post(CHECKED), ['close-idle', 'schedule']);
});
