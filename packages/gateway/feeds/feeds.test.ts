import test from 'ava';
import { FEED_RETRY_MS, FEED_STALENESS_MARGIN_MS, REREGISTRATION_GRACE_MS } from './constants.js';
import { createFeedsLogic, isFeedStale } from './feeds.js';
import type { FeedsState } from './feedState.js';
import { computeResumptionLimits } from './pacing.js';
import type { PacingInputs } from './pacing.js';
import { createVirtualClock } from '../../core/clock.js';
import { buildEndpoint, CONFIGURATION } from '../../decisions/forwarding/forwarding.fixture.js';
import type { GatewayEffect } from '../effects.js';
import type { FeedName, FeedPosition, FeedResult, RecordChange } from '../types.js';

const buildPacingInputs = (daemons: number): PacingInputs => ({
  daemons,
  stalenessLimits: { leavingMs: 2_000, dataCentreOutMs: 5_000, outageMs: 3_000 },
});

const toPosition = (offset: number, epoch = 1): FeedPosition => ({ epoch, offset });

const createHarness = (daemons = 4) => {
  const clock = createVirtualClock(1_000);
  const logic = createFeedsLogic({
    clock,
    newestReads: new Map(),
    getPacingInputs: () => buildPacingInputs(daemons),
  });
  const first = logic.init();
  let state: FeedsState = first.state;
  const getPosition = (feed: FeedName): FeedPosition | null => {
    const current = state[feed];
    return current.kind === 'following' ? current.position : null;
  };
  const answer = (
    feed: FeedName,
    result: FeedResult,
    from = getPosition(feed),
  ): readonly GatewayEffect[] => {
    const step = logic.decide(state, { to: 'feeds', kind: 'feed-answered', feed, from, result });
    ({ state } = step);
    return step.effects;
  };
  const sendDue = (feed: FeedName): readonly GatewayEffect[] => {
    const step = logic.decide(state, { to: 'feeds', kind: 'feed-due', feed });
    ({ state } = step);
    return step.effects;
  };
  const restart = (): void => {
    ({ state } = logic.init());
  };
  return { clock, answer, sendDue, restart, started: first.effects, getState: () => state };
};

const REGISTERED: RecordChange = { kind: 'endpoint-registered', record: buildEndpoint('e-1') };
const REMOVED: RecordChange = { kind: 'endpoint-removed', id: 'e-1' };
const FAILED: FeedResult = { kind: 'failed', message: 'down', triedMs: 0 };

const findLine = (effects: readonly GatewayEffect[], name: string) =>
  effects
    .flatMap((effect) => (effect.kind === 'log' ? [effect] : []))
    .find((effect) => effect.name === name)?.details.data;

const findRegistrations = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) =>
    effect.kind === 'post' && effect.event.kind === 'registrations-changed' ? [effect.event] : [],
  );

// Guards against a daemon that starts without the existing records, or that loads them again and
// again.
test('a daemon loads the newest records and then follows the feed', (t) => {
  const harness = createHarness();
  t.deepEqual(harness.started, [
    { kind: 'load-feed', feed: 'operator' },
    { kind: 'load-feed', feed: 'registrations' },
  ]);
  const effects = harness.answer('operator', {
    kind: 'loaded',
    changes: [{ kind: 'configuration', configuration: CONFIGURATION }],
    position: toPosition(9),
  });
  const posted = effects.flatMap((effect) => (effect.kind === 'post' ? [effect.event.kind] : []));
  t.true(posted.includes('configuration-read'));
  t.true(posted.includes('data-centres-changed'));
  harness.clock.advance(1_000);
  const quiet = harness.answer('operator', { kind: 'read', changes: [], position: toPosition(9) });
  t.like(quiet[0], { kind: 'read-feed', position: toPosition(9) });
});

// Guards against a daemon that keeps records which were removed while it could not follow the feed.
test('a feed is loaded again when its position has expired', (t) => {
  const harness = createHarness();
  harness.answer('registrations', {
    kind: 'loaded',
    changes: [REGISTERED],
    position: toPosition(4),
  });
  harness.clock.advance(1_000);
  const effects = harness.answer('registrations', { kind: 'expired', epoch: 1 });
  t.deepEqual(effects.at(-1), { kind: 'load-feed', feed: 'registrations' });
  const reloaded = harness.answer('registrations', {
    kind: 'loaded',
    changes: [],
    position: toPosition(6),
  });
  t.like(findRegistrations(reloaded)[0], { scope: 'all', removals: { kind: 'certain' } });
});

// Guards against running endpoints that are dropped because their registrations expired in an
// outage of the store.
test('removals are uncertain for a grace period after an outage', (t) => {
  const harness = createHarness();
  harness.answer('registrations', {
    kind: 'loaded',
    changes: [REGISTERED],
    position: toPosition(4),
  });
  const lost = harness.answer('registrations', FAILED);
  t.true(lost.some((effect) => effect.kind === 'log' && effect.name === 'log-unavailable'));
  harness.clock.advance(4_000);
  t.false(harness.answer('registrations', FAILED).some(({ kind }) => kind === 'log'));
  harness.clock.advance(1_000);
  const back = harness.answer('registrations', {
    kind: 'read',
    changes: [REMOVED],
    position: toPosition(5),
  });
  t.deepEqual(findRegistrations(back)[0]?.removals, {
    kind: 'uncertain',
    since: 6_000,
    until: 8_000,
  });
  t.true(back.some((effect) => effect.kind === 'log' && effect.name === 'log-available'));
  harness.clock.advance(REREGISTRATION_GRACE_MS);
  const later = harness.answer('registrations', {
    kind: 'read',
    changes: [REMOVED],
    position: toPosition(6),
  });
  t.deepEqual(findRegistrations(later)[0]?.removals, { kind: 'certain' });
});

// Guards against requests to a removed endpoint later than a while after a disruption of this daemon's
// connections: until it noticed that the store answers again, much of that time may be over (review/4).
test('removals are certain once the time after a disruption is over', (t) => {
  const outageMs = 3_000;
  for (const [triedMs, tryMs] of [
    [0, 250],
    [900, 250],
    [900, 1_900],
    [900, 2_200],
  ] as const) {
    const harness = createHarness();
    const position = toPosition(4);
    harness.answer('registrations', { kind: 'loaded', changes: [REGISTERED], position });
    harness.clock.advance(triedMs);
    harness.answer('registrations', { ...FAILED, triedMs });
    harness.clock.advance(tryMs);
    const read: FeedResult = { kind: 'read', changes: [REMOVED], position };
    const [event] = findRegistrations(harness.answer('registrations', read));
    const until = event?.removals.kind === 'uncertain' ? event.removals.until : 0;
    t.true(until <= 1_000 + outageMs, `${triedMs.toString()}, ${tryMs.toString()}`);
    t.is(event?.removals.kind, triedMs + tryMs < outageMs ? 'uncertain' : 'certain');
  }
});

// Guards against a long time to notice that the store answers again: its wait would be added to it.
test('a read is not held by the store while the reads before failed', (t) => {
  const harness = createHarness();
  const position = toPosition(4);
  harness.answer('registrations', { kind: 'loaded', changes: [REGISTERED], position });
  harness.answer('registrations', FAILED);
  t.like(harness.sendDue('registrations')[0], { kind: 'read-feed', waitMs: 0 });
});

// Guards against a silent connection that cannot be told from an outage in the logs.
test('an answer on a second connection is logged and is no outage', (t) => {
  const harness = createHarness();
  const position = toPosition(4);
  harness.answer('registrations', { kind: 'loaded', changes: [REGISTERED], position });
  const replaced = 'no answer in time';
  const read: FeedResult = { kind: 'read', changes: [REMOVED], position, replaced };
  const effects = harness.answer('registrations', read);
  t.like(findLine(effects, 'connection-replaced'), { feed: 'registrations', reason: replaced });
  t.deepEqual(findRegistrations(effects)[0]?.removals, { kind: 'certain' });
});

// Guards against sound endpoints that are dropped with certainty because the child was restarted in or
// after an outage of the store, in which they could not register.
test('removals stay uncertain when the child is restarted', (t) => {
  for (const restart of ['in the outage', 'after it']) {
    const harness = createHarness();
    const position = toPosition(4);
    harness.answer('registrations', { kind: 'loaded', changes: [REGISTERED], position });
    harness.answer('registrations', FAILED);
    harness.clock.advance(4_000);
    harness.answer('registrations', FAILED);
    harness.clock.advance(1_000);
    if (restart === 'after it') {
      harness.answer('registrations', { kind: 'read', changes: [], position });
    }
    harness.restart();
    const load: FeedResult = { kind: 'loaded', changes: [], position };
    const [event] = findRegistrations(harness.answer('registrations', load, null));
    t.deepEqual(event?.removals, { kind: 'uncertain', since: 6_000, until: 8_000 }, restart);
    harness.clock.advance(REREGISTRATION_GRACE_MS);
    harness.restart();
    const [later] = findRegistrations(harness.answer('registrations', load, null));
    t.deepEqual(later?.removals, { kind: 'certain' }, restart);
  }
});

// Guards against missed notices of leaving endpoints when the store stops answering without an
// error.
test('the registrations are stale when a read stays unanswered', (t) => {
  const harness = createHarness();
  const check = (): boolean =>
    isFeedStale(harness.getState().registrations, harness.clock.now(), buildPacingInputs(4));
  t.true(check());
  harness.answer('registrations', {
    kind: 'loaded',
    changes: [REGISTERED],
    position: toPosition(4),
  });
  harness.clock.advance(440 + FEED_STALENESS_MARGIN_MS);
  t.false(check());
  harness.clock.advance(1);
  t.true(check());
});

// Guards against one read for each registration: each endpoint renews its own about once a second.
test('reads of registrations pause after records', (t) => {
  const harness = createHarness();
  harness.answer('registrations', { kind: 'loaded', changes: [], position: toPosition(0) });
  const effects = harness.answer('registrations', {
    kind: 'read',
    changes: [REGISTERED],
    position: toPosition(1),
  });
  t.true(effects.some((effect) => effect.kind === 'schedule' && effect.delayMs > 100));
});

// Guards against a read rate that grows with the number of daemons, and against pauses so long that
// a daemon learns too late of a leaving endpoint that no other daemon reports.
test('the pause between reads grows with the number of daemons, within limits', (t) => {
  const delays = [1, 4, 16, 400].map((daemons) => {
    const harness = createHarness(daemons);
    const result: FeedResult = { kind: 'loaded', changes: [REGISTERED], position: toPosition(4) };
    const timer = harness.answer('registrations', result).at(-1);
    return timer?.kind === 'schedule' ? timer.delayMs : 0;
  });
  t.deepEqual(delays, [350, 440, 1_100, 1_100]);
});

// Guards against a configuration that is applied too late because a connection stalled: that is
// detected only at the end of a long poll.
test('long polls of operator records grow with the number of daemons, within limits', (t) => {
  const waits = [1, 4, 400].map((daemons) => {
    const harness = createHarness(daemons);
    const result: FeedResult = { kind: 'loaded', changes: [], position: toPosition(4) };
    const read = harness.answer('operator', result).at(-1);
    return read?.kind === 'read-feed' ? read.waitMs : 0;
  });
  t.deepEqual(waits, [1_000, 1_400, 1_500]);
});

// Guards against a restore of the store that leaves no line in the logs, because the position has
// been given out again and the read succeeds.
test('a restore of the store is logged with the positions before and after', (t) => {
  const harness = createHarness();
  harness.answer('operator', { kind: 'loaded', changes: [], position: toPosition(9) });
  harness.answer('operator', { kind: 'read', changes: [], position: toPosition(11, 2) });
  const effects = harness.answer('operator', {
    kind: 'loaded',
    changes: [],
    position: toPosition(7, 2),
  });
  const line = findLine(effects, 'store-restored');
  const posted = effects.flatMap((effect) => (effect.kind === 'post' ? [effect.event] : []));
  t.deepEqual(posted[0], { to: 'quarantine', kind: 'store-restored', epoch: 2 });
  t.like(line, { epochBefore: 1, offsetBefore: 9, epoch: 2, offset: 7 });
});

// Guards against an answer from before the restore that arrives late and moves a feed back to it,
// and against a feed that is no longer read after such an answer.
test('an answer of an older epoch changes nothing, and the read is repeated', (t) => {
  const harness = createHarness();
  harness.answer('operator', { kind: 'loaded', changes: [], position: toPosition(9, 2) });
  const before = harness.getState();
  const changes: RecordChange[] = [{ kind: 'configuration', configuration: CONFIGURATION }];
  const effects = harness.answer('operator', { kind: 'read', changes, position: toPosition(10) });
  t.deepEqual(harness.getState(), before);
  t.deepEqual(
    effects.map(({ kind }) => kind),
    ['log', 'schedule'],
  );
  harness.answer('operator', { kind: 'expired', epoch: 2 });
  const loaded = harness.answer('operator', { kind: 'loaded', changes, position: toPosition(10) });
  t.true(loaded.every(({ kind }) => kind === 'log' || kind === 'schedule'));
  t.is(harness.getState().operator.kind, 'loading');
});

// Guards against answers to reads of an earlier incarnation of the child, after whose restart two
// series of reads would follow the same feed for good.
test('an answer to a read from another position is ignored without another read', (t) => {
  const harness = createHarness();
  const late: FeedResult = { kind: 'read', changes: [REGISTERED], position: toPosition(3) };
  const early = harness.answer('registrations', late, toPosition(2));
  t.deepEqual(
    early.map(({ kind }) => kind),
    ['log'],
  );
  const load: FeedResult = { kind: 'loaded', changes: [], position: toPosition(4) };
  harness.answer('registrations', load);
  for (const result of [late, load]) {
    const ignored = harness.answer('registrations', result, toPosition(2));
    t.true(ignored.every(({ kind }) => kind === 'log'));
  }
  t.like(harness.getState().registrations, { position: toPosition(4) });
});

// Guards against an older store, which states no epoch, being loaded again after each read.
test('answers without an epoch are applied at the position', (t) => {
  const harness = createHarness();
  harness.answer('operator', {
    kind: 'loaded',
    changes: [],
    position: { epoch: null, offset: 9 },
  });
  harness.clock.advance(1_000);
  const effects = harness.answer('operator', {
    kind: 'read',
    changes: [],
    position: { epoch: null, offset: 10 },
  });
  t.like(effects.at(-1), { kind: 'read-feed', position: { epoch: null, offset: 10 } });
});

type Call = Extract<GatewayEffect, { kind: 'load-feed' | 'read-feed' }>;

const findCalls = (effects: readonly GatewayEffect[]): readonly Call[] =>
  effects.flatMap((effect) =>
    effect.kind === 'load-feed' || effect.kind === 'read-feed' ? [effect] : [],
  );

const ANSWER_MS = 1;

/** Counts the calls to a store that answers each of them after `ANSWER_MS`. */
const countCalls = (durationMs: number, answerCall: (call: Call) => FeedResult): number => {
  const harness = createHarness();
  const endAt = harness.clock.now() + durationMs;
  let effects: readonly GatewayEffect[] = harness.started.slice(0, 1);
  let calls = 0;
  while (harness.clock.now() < endAt) {
    const [call] = findCalls(effects);
    if (call === undefined) {
      const timer = effects.find(({ kind }) => kind === 'schedule');
      harness.clock.advance(timer?.kind === 'schedule' ? timer.delayMs : durationMs);
      effects = harness.sendDue('operator');
    } else {
      calls += 1;
      harness.clock.advance(ANSWER_MS);
      effects = harness.answer('operator', answerCall(call));
    }
  }
  return calls;
};

// Guards against a daemon that calls the store without a pause, and uses up its own processor and the
// calls of all daemons, because the store answers early, or never as its pages say.
test('a store whose answers lead nowhere is called with pauses', (t) => {
  const loaded = (epoch: number | null): FeedResult => ({
    kind: 'loaded',
    changes: [],
    position: { epoch, offset: 4 },
  });
  const stores: Readonly<Record<string, (call: Call) => FeedResult>> = {
    'reads that are not held': ({ kind }) =>
      kind === 'load-feed' ? loaded(1) : { kind: 'read', changes: [], position: toPosition(4) },
    'each position has expired': ({ kind }) =>
      kind === 'load-feed' ? loaded(1) : { kind: 'expired', epoch: 1 },
    'loads have expired': () => ({ kind: 'expired', epoch: 1 }),
    'an epoch in reads only': ({ kind }) =>
      kind === 'load-feed' ? loaded(null) : { kind: 'read', changes: [], position: toPosition(4) },
  };
  const durationMs = 20 * FEED_RETRY_MS;
  for (const [name, answerCall] of Object.entries(stores)) {
    // A load and a read in each interval, and those at the start.
    t.true(countCalls(durationMs, answerCall) <= 2 * 20 + 2, name);
  }
});

// Guards against a restore of the store that is noticed late: the pauses are only for a store that
// answers early again and again.
test('a held read is followed at once, and an expired position is loaded at once', (t) => {
  const harness = createHarness();
  harness.answer('operator', { kind: 'loaded', changes: [], position: toPosition(4) });
  harness.clock.advance(FEED_RETRY_MS);
  const nothing: FeedResult = { kind: 'read', changes: [], position: toPosition(4) };
  t.is(findCalls(harness.answer('operator', nothing))[0]?.kind, 'read-feed');
  harness.clock.advance(ANSWER_MS);
  const expired = harness.answer('operator', { kind: 'expired', epoch: 2 });
  t.is(findCalls(expired)[0]?.kind, 'load-feed');
});

// Guards against requests to a leaving endpoint, or to a data centre that is out, which are in time by
// when this daemon learnt of it, but late by when the store acknowledged it.
test('the time until a daemon learns is deducted from the limits of resumptions', (t) => {
  t.deepEqual(computeResumptionLimits(buildPacingInputs(4)), {
    leavingMs: 2_000 - 440 - FEED_STALENESS_MARGIN_MS,
    dataCentreOutMs: 2_000,
  });
  const { leavingMs } = computeResumptionLimits(buildPacingInputs(100));
  t.is(leavingMs, 2_000 - 1_100 - FEED_STALENESS_MARGIN_MS);
});
