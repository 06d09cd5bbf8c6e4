import test from 'ava';
import { STORE_RETRY_MS } from './constants.js';
import { createQuarantineLogic } from './quarantine.js';
import type { QuarantineRecord } from './types.js';
import { createVirtualClock } from '../../core/clock.js';
import { CORRELATED_CRASH_MS, CRASH_RETENTION_MS } from '../../decisions/quarantine/constants.js';
import { checkContent } from '../../decisions/quarantine/crashEvidence.js';
import type { GatewayEffect, QuarantineEvent } from '../events.js';

const CONTENT = { whole: null, parts: ['m/deadly'] };

const createHarness = () => {
  const clock = createVirtualClock(5_000);
  const logic = createQuarantineLogic(clock);
  const { state } = logic.init();
  const post = (event: QuarantineEvent): readonly GatewayEffect[] =>
    logic.decide(state, event).effects;
  const recordCrash = (endpoint: string): readonly GatewayEffect[] => {
    clock.advance(CORRELATED_CRASH_MS);
    return post({
      to: 'quarantine',
      kind: 'crash-observed',
      requestId: 'r-1',
      endpoint,
      progress: 'beginning',
      content: CONTENT,
    });
  };
  return {
    clock,
    post,
    recordCrash,
    init: () => logic.init().effects,
    check: () => checkContent(state.evidence, CONTENT, clock.now()).kind,
  };
};

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
  t.deepEqual(harness.post(load([expired])), [{ kind: 'remove-quarantine', fingerprint: 'm/old' }]);
  harness.recordCrash('e-1');
  harness.recordCrash('e-2');
  const answered = {
    to: 'quarantine',
    kind: 'answer-observed',
    fingerprints: CONTENT.parts,
  } as const;
  t.deepEqual(harness.post(answered), [{ kind: 'remove-quarantine', fingerprint: 'm/deadly' }]);
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
