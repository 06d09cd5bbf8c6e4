import test from 'ava';
import { MAX_REMEMBERED_WRITES, REWRITE_SPREAD_MS, STORE_RETRY_MS } from './constants.js';
import { createQuarantineLogic } from './quarantine.js';
import type { QuarantineRecord } from './types.js';
import { createQuarantineWrites } from './writes.js';
import { createVirtualClock } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import { CORRELATED_CRASH_MS, CRASH_RETENTION_MS } from '../../decisions/quarantine/constants.js';
import { checkContent } from '../../decisions/quarantine/crashEvidence.js';
import type { ContentFingerprints } from '../../decisions/quarantine/types.js';
import type { GatewayEffect } from '../effects.js';
import type { QuarantineEvent } from '../events.js';
import { buildCrashMessage, readCrashMessage } from '../peers/crashReports.js';

const CONTENT = { whole: null, parts: ['m/deadly'] };

const createHarness = () => {
  const clock = createVirtualClock(5_000);
  const logic = createQuarantineLogic({
    clock,
    random: createRandomSource(7),
    writes: createQuarantineWrites(),
  });
  let { state } = logic.init();
  const post = (event: QuarantineEvent): readonly GatewayEffect[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  const recordCrash = (
    endpoint: string,
    content: ContentFingerprints = CONTENT,
  ): readonly GatewayEffect[] => {
    clock.advance(CORRELATED_CRASH_MS);
    return post({
      to: 'quarantine',
      kind: 'crash-observed',
      requestId: 'r-1',
      endpoint,
      progress: 'beginning',
      content,
    });
  };
  const restart = (): void => {
    ({ state } = logic.init());
  };
  return {
    clock,
    post,
    recordCrash,
    restart,
    init: () => logic.init().effects,
    buildFullReport: () => buildCrashMessage(state.evidence, 'quarantines', clock.now()),
    check: (content = CONTENT) => checkContent(state.evidence, content, clock.now()).kind,
  };
};

/** Largest datagram over IPv4. */
const MAX_DATAGRAM_BYTES = 65_507;

const findRecords = (effects: readonly GatewayEffect[]): readonly QuarantineRecord[] =>
  effects.flatMap((effect) => (effect.kind === 'save-quarantine' ? [effect.record] : []));

const load = (records: readonly QuarantineRecord[]): QuarantineEvent => ({
  to: 'quarantine',
  kind: 'quarantines-loaded',
  result: { kind: 'loaded', records },
});

// Guards against a fleet that forgets its quarantines when all daemons end at once.
test('a daemon that starts refuses what was quarantined before', (t) => {
  const first = createHarness();
  t.deepEqual(first.init(), [{ kind: 'load-quarantines' }]);
  t.deepEqual(findRecords(first.recordCrash('e-1')), []);
  const records = findRecords(first.recordCrash('e-2'));
  t.is(records.length, 1);
  const second = createHarness();
  t.is(second.check(), 'accepted');
  second.post(load(records));
  t.is(second.check(), 'quarantined');
});

// Guards against a quarantine that is never stored or never loaded because the store was down.
test('failed calls to the store are repeated', (t) => {
  const harness = createHarness();
  const result = { kind: 'failed', message: 'down' } as const;
  t.deepEqual(harness.post({ to: 'quarantine', kind: 'quarantines-loaded', result }), [
    {
      kind: 'schedule',
      delayMs: STORE_RETRY_MS,
      event: { to: 'quarantine', kind: 'load-due' },
    },
  ]);
  t.deepEqual(harness.post({ to: 'quarantine', kind: 'load-due' }), [{ kind: 'load-quarantines' }]);
  harness.recordCrash('e-1');
  harness.recordCrash('e-2');
  const due = { to: 'quarantine', kind: 'save-due', fingerprint: 'm/deadly' } as const;
  t.is(findRecords(harness.post(due)).length, 1);
  harness.clock.advance(CRASH_RETENTION_MS);
  t.deepEqual(harness.post(due), []);
});

// Guards against records that stay in the store for good.
test('records of quarantines that expired or were disproved are removed', (t) => {
  const harness = createHarness();
  const expired: QuarantineRecord = {
    fingerprint: 'm/old',
    crashes: [['', 'e-1', 'beginning', CRASH_RETENTION_MS, ['m/old']]],
  };
  t.deepEqual(harness.post(load([expired])), [
    { kind: 'remove-quarantines', fingerprints: ['m/old'] },
  ]);
  harness.recordCrash('e-1');
  harness.recordCrash('e-2');
  const answered = {
    to: 'quarantine',
    kind: 'answer-observed',
    fingerprints: CONTENT.parts,
  } as const;
  t.deepEqual(harness.post(answered), [{ kind: 'remove-quarantines', fingerprints: ['m/deadly'] }]);
  t.is(harness.check(), 'accepted');
});

// Guards against each daemon writing the same record, which costs as many calls as there are daemons.
test('a quarantine that peers reported is not stored again', (t) => {
  const harness = createHarness();
  const crashes = ['e-1', 'e-2'].map((endpoint, index) => ({
    endpoint,
    progress: 'beginning' as const,
    at: 3_000 + index * CORRELATED_CRASH_MS,
    content: CONTENT,
  }));
  const event = { to: 'quarantine', kind: 'crashes-reported', crashes, survivals: [] } as const;
  t.deepEqual(findRecords(harness.post(event)), []);
  t.is(harness.check(), 'quarantined');
});

// Guards against a quarantine that nobody stores because two daemons observed one crash each, and
// each learns of the other's from a report.
test('a daemon that observed one of the crashes stores the quarantine', (t) => {
  const harness = createHarness();
  harness.recordCrash('e-1');
  const at = harness.clock.now() + CORRELATED_CRASH_MS;
  harness.clock.advance(CORRELATED_CRASH_MS);
  const crash = { endpoint: 'e-2', progress: 'beginning', at, content: CONTENT } as const;
  const event = { to: 'quarantine', kind: 'crashes-reported', crashes: [crash], survivals: [] };
  const [record] = findRecords(harness.post(event as QuarantineEvent));
  t.is(record?.crashes.length, 2);
});

const RESTORED: QuarantineEvent = { to: 'quarantine', kind: 'store-restored', epoch: 2 };

const listTimers = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'schedule' ? [effect] : []));

// Guards against quarantines that are lost, and ended ones that come back, for daemons that start
// after the store was restored; and against daemons that write all of them at once.
test('the writes that a restored store may lack are repeated once, spread over time', (t) => {
  const harness = createHarness();
  t.deepEqual(harness.post(RESTORED), []);
  const ended = { whole: null, parts: ['m/ended'] };
  for (const endpoint of ['e-1', 'e-2']) harness.recordCrash(endpoint);
  for (const endpoint of ['e-3', 'e-4']) harness.recordCrash(endpoint, ended);
  const answered = {
    to: 'quarantine',
    kind: 'answer-observed',
    fingerprints: ended.parts,
  } as const;
  t.deepEqual(harness.post(answered), [{ kind: 'remove-quarantines', fingerprints: ['m/ended'] }]);
  const timers = listTimers(harness.post({ ...RESTORED, epoch: 3 }));
  t.deepEqual(
    timers.map(({ event }) => event),
    [
      { to: 'quarantine', kind: 'save-due', fingerprint: 'm/deadly' },
      { to: 'quarantine', kind: 'remove-due', fingerprint: 'm/ended' },
    ],
  );
  t.true(timers.every(({ delayMs }) => delayMs < REWRITE_SPREAD_MS));
  t.not(timers[0]?.delayMs, timers[1]?.delayMs);
  const effects = timers.flatMap(({ event }) => harness.post(event as QuarantineEvent));
  t.deepEqual(
    effects.map(({ kind }) => kind),
    ['save-quarantine', 'remove-quarantines'],
  );
  t.deepEqual(harness.post({ ...RESTORED, epoch: 3 }), []);
});

// Guards against sound requests that a daemon refuses because its restarted child loads a quarantine
// from the store that lacks its end, and against a fleet that writes a quarantine again and again.
test('a restarted child knows its quarantines, their ends and to which store it wrote them', (t) => {
  const harness = createHarness();
  const ended = { whole: null, parts: ['m/ended'] };
  harness.recordCrash('e-1', ended);
  const [record] = findRecords(harness.recordCrash('e-2', ended));
  harness.post({ to: 'quarantine', kind: 'answer-observed', fingerprints: ended.parts });
  for (const endpoint of ['e-3', 'e-4']) harness.recordCrash(endpoint);
  t.is(listTimers(harness.post(RESTORED)).length, 2);
  harness.restart();
  t.is(harness.check(), 'quarantined');
  t.is(harness.check(ended), 'accepted');
  if (record !== undefined) harness.post(load([record]));
  t.is(harness.check(ended), 'accepted');
  t.deepEqual(harness.post(RESTORED), []);
  harness.clock.advance(CRASH_RETENTION_MS);
  harness.restart();
  t.is(harness.check(), 'accepted');
});

// Guards against a quarantine that comes back in the store because it ended, or began again, between
// the restore and the write.
test('a repeated write has the newest state of its quarantine', (t) => {
  const harness = createHarness();
  for (const endpoint of ['e-1', 'e-2']) harness.recordCrash(endpoint);
  const [save] = listTimers(harness.post(RESTORED));
  const answered = {
    to: 'quarantine',
    kind: 'answer-observed',
    fingerprints: CONTENT.parts,
  } as const;
  harness.post(answered);
  t.deepEqual(harness.post(save?.event as QuarantineEvent), []);
  const [removal] = listTimers(harness.post({ ...RESTORED, epoch: 3 }));
  // A fingerprint that survived once is quarantined after four more crashes.
  for (const endpoint of ['e-3', 'e-4', 'e-5', 'e-6']) harness.recordCrash(endpoint);
  t.is(harness.check(), 'quarantined');
  t.deepEqual(harness.post(removal?.event as QuarantineEvent), []);
});

// Guards against calls to the store about quarantines that nobody needs any more, or without a limit.
test('only the newest writes are repeated, and no longer than a quarantine lasts', (t) => {
  const harness = createHarness();
  for (let index = 0; index < MAX_REMEMBERED_WRITES + 5; index += 1) {
    const content = { whole: null, parts: [`m/${index.toString()}`] };
    for (const suffix of ['a', 'b']) harness.recordCrash(`e-${index.toString()}${suffix}`, content);
  }
  t.is(listTimers(harness.post(RESTORED)).length, MAX_REMEMBERED_WRITES);
  harness.clock.advance(CRASH_RETENTION_MS);
  t.deepEqual(harness.post({ ...RESTORED, epoch: 3 }), []);
});

// Guards against sound requests that a daemon refuses because it started while a restored store lacked
// the end of their quarantine, long after the survival was reported.
test('a daemon that loads an ended quarantine learns of its end from its peers', (t) => {
  const first = createHarness();
  first.recordCrash('e-1');
  const [record] = findRecords(first.recordCrash('e-2'));
  first.clock.advance(1);
  first.post({ to: 'quarantine', kind: 'answer-observed', fingerprints: CONTENT.parts });
  first.clock.advance(20_000);
  const crashes = (record?.crashes ?? []).map(
    ([whole, endpoint, progress, ageMs, parts]) =>
      [whole, endpoint, progress, ageMs + 20_001, parts] as const,
  );
  t.is(crashes.length, 2);
  const second = createHarness();
  second.clock.advance(30_000);
  second.post(load([{ fingerprint: 'm/deadly', crashes }]));
  t.is(second.check(), 'quarantined');
  const report = readCrashMessage(first.buildFullReport(), second.clock.now());
  second.post({ to: 'quarantine', kind: 'crashes-reported', ...report });
  t.is(second.check(), 'accepted');
});

/** Numbers of parts of one prompt. */
const PART_COUNTS = [2, 256];

// Guards against a gateway that stands still, since each part of a long prompt lets it check all requests
// again, write a line or call the store (review/10).
test('what a crash and an answer cause does not grow with the parts of the prompt', (t) => {
  const [small, large] = PART_COUNTS.map((count) => {
    const parts = Array.from({ length: count }, (_, index) => `m/${index.toString()}`);
    const content = { whole: 'w', parts };
    const harness = createHarness();
    harness.recordCrash('e-1', content);
    const crashed = harness.recordCrash('e-2', content);
    const answered = { to: 'quarantine', kind: 'answer-observed', fingerprints: parts } as const;
    return [...crashed, ...harness.post(answered)].map(({ kind }) => kind);
  });
  t.deepEqual(small, large);
});

// Guards against a report of long prompts that does not fit into a datagram, so that peers hear nothing.
test('a report leaves out the parts of prompts that do not fit', (t) => {
  const parts = Array.from({ length: 2_000 }, (_, index) => `m/part-${index.toString()}`);
  const harness = createHarness();
  for (const endpoint of ['e-1', 'e-2', 'e-3'])
    harness.recordCrash(endpoint, { whole: `w-${endpoint}`, parts });
  const { crashes } = harness.buildFullReport();
  t.is(crashes.length, 3);
  t.true(JSON.stringify(crashes).length < MAX_DATAGRAM_BYTES);
});
