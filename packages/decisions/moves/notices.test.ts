import test from 'ava';
import fc from 'fast-check';
import { NOTICE_TAKEOVER_MS } from './constants.js';
import { decideNotice, formatNoticeId } from './notices.js';
import type { EndedMove, NoticeEvent, NoticeState } from './noticeTypes.js';

const SEED = 8_003;
const RUNS = 1_000;
const DAEMONS = 4;
const TICK_MS = 250;
/** Longer than the last takeover and the longest back-off after failures. */
const HORIZON_MS = 300_000;

const ENDED: EndedMove = { name: 'to-v2', endedAt: 7, outcome: 'done', reason: '' };
const ID = formatNoticeId(ENDED);

/** Input of one run. */
interface Plan {
  /** Daemon that appended the terminal record. */
  readonly author: number;
  /** Position of each daemon in the takeover order, in [0,1). */
  readonly orders: readonly number[];
  /** Time at which each daemon stops for good; the last one never does. */
  readonly endsAt: readonly number[];
  /** Webhook calls that fail before one succeeds. */
  readonly failures: number;
  /** Appends that are lost before one reaches the log. */
  readonly lostAppends: number;
  readonly callMs: number;
}

/** Result of one run. */
interface Outcome {
  /** Ids of the notices that the webhook received. */
  readonly ids: readonly string[];
  /** Notices sent after every daemon had read the record from the log. */
  readonly late: number;
}

/** Runs daemons on a virtual clock; calls take `callMs`, and records are read at the next tick. */
const runDaemons = (plan: Plan, record: 'kept' | 'disabled' = 'kept'): Outcome => {
  const states: NoticeState[] = Array.from({ length: DAEMONS }, () => new Map());
  const calls: { readonly by: number; readonly endsAt: number }[] = [];
  const ids: string[] = [];
  let { failures, lostAppends } = plan;
  let recordedAt = Infinity;
  let late = 0;
  const isAlive = (daemon: number, now: number): boolean =>
    daemon === DAEMONS - 1 || now < (plan.endsAt[daemon] ?? 0);
  const apply = (by: number, event: NoticeEvent, now: number): void => {
    const step = decideNotice(states[by] ?? new Map(), event);
    states[by] = step.state;
    for (const effect of step.effects) {
      if (effect.kind === 'send-notice') {
        calls.push({ by, endsAt: now + plan.callMs });
        if (now > recordedAt + TICK_MS) late += 1;
      } else if (lostAppends > 0) lostAppends -= 1;
      else if (record === 'kept') recordedAt = Math.min(recordedAt, now);
    }
  };
  for (let now = 0; now <= HORIZON_MS; now += TICK_MS) {
    for (const call of calls.filter(({ endsAt }) => endsAt <= now)) {
      calls.splice(calls.indexOf(call), 1);
      const result = failures > 0 ? 'failed' : 'sent';
      if (result === 'failed') failures -= 1;
      else ids.push(ID);
      if (isAlive(call.by, now)) apply(call.by, { kind: result, id: ID, now }, now);
    }
    for (let by = 0; by < DAEMONS; by += 1) {
      if (!isAlive(by, now)) continue;
      const role = by === plan.author ? 'author' : 'other';
      const order = plan.orders[by] ?? 0;
      if (now > recordedAt) apply(by, { kind: 'recorded', ended: ENDED }, now);
      else if (now === 0) apply(by, { kind: 'ended', ended: ENDED, role, order, now }, now);
      apply(by, { kind: 'tick', now }, now);
    }
  }
  return { ids, late };
};

const anyPlan: fc.Arbitrary<Plan> = fc.record({
  author: fc.nat({ max: DAEMONS - 1 }),
  orders: fc.array(fc.double({ min: 0, max: 0.99, noNaN: true }), {
    minLength: DAEMONS,
    maxLength: DAEMONS,
  }),
  endsAt: fc.array(fc.constantFrom(1, 100, 600, 20_000, 1_000_000), {
    minLength: DAEMONS,
    maxLength: DAEMONS,
  }),
  failures: fc.nat({ max: 4 }),
  lostAppends: fc.nat({ max: 2 }),
  callMs: fc.constantFrom(20, 500, 5_000),
});

// Guards against an end without a notice because its author stopped before it could send one.
test('a notice is sent while one daemon runs, and none once it is recorded', (t) => {
  const property = fc.property(anyPlan, (plan) => {
    const { ids, late } = runDaemons(plan);
    if (ids.length === 0) throw new Error('no notice');
    if (new Set(ids).size !== 1) throw new Error('two ids');
    if (late > 0) throw new Error(`${late.toString()} notices after the record`);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

// Guards against a notice from every daemon when there are no faults.
test('without faults exactly one notice is sent, by the author', (t) => {
  const property = fc.property(anyPlan, (plan) => {
    const withoutFaults = {
      ...plan,
      failures: 0,
      lostAppends: 0,
      endsAt: plan.endsAt.map(() => Infinity),
    };
    const { ids } = runDaemons(withoutFaults);
    if (ids.length !== 1) throw new Error(`${ids.length.toString()} notices`);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  const plan = { author: 0, orders: [0, 0.3, 0.6, 0.9], endsAt: [], failures: 0, lostAppends: 0 };
  const all = { ...plan, endsAt: plan.orders.map(() => Infinity), callMs: 20 };
  // Without the record every daemon sends the notice, so the simulation can detect duplicates.
  t.is(runDaemons(all, 'disabled').ids.length, DAEMONS);
});

// Guards against a restarted author that sends the notice of its previous incarnation again.
test('only the author of the end sends at once, and others after the takeover delay', (t) => {
  const event = { kind: 'ended', ended: ENDED, order: 0, now: 0 } as const;
  const own = decideNotice(new Map(), { ...event, role: 'author' });
  t.deepEqual(own.effects, [{ kind: 'send-notice', id: ID, ended: ENDED }]);
  const other = decideNotice(new Map(), { ...event, role: 'other' });
  t.deepEqual(other.effects, []);
  const early = decideNotice(other.state, { kind: 'tick', now: NOTICE_TAKEOVER_MS - 1 });
  t.deepEqual(early.effects, []);
  const due = decideNotice(other.state, { kind: 'tick', now: NOTICE_TAKEOVER_MS });
  t.is(due.effects[0]?.kind, 'send-notice');
  const accepted = decideNotice(other.state, { ...event, role: 'author' });
  t.is(accepted.effects[0]?.kind, 'send-notice');
});
