import test from 'ava';
import { checkPromises } from './checkPromises.js';
import type { ExpectedAnswers } from './checkPromises.js';
import type { CallRecord, Finding, Observations, RunRecord } from './types.js';

const ANSWERS: ExpectedAnswers = {
  eventCount: 3,
  toBody: (body) => `answer to ${body}`,
  isMarkOf: (mark, requestId) => mark === `m-${requestId}`,
};

const CALL: CallRecord = {
  id: 'r-1',
  kind: 'once',
  gateway: 0,
  incarnation: 1,
  key: 'key-1',
  customer: 'acme',
  body: 'b',
  sentAt: 50_000,
  endedAt: 50_050,
  end: { kind: 'answered', status: 200, mark: 'm-r-1', body: 'answer to b', eventIds: [] },
};

const RUN: RunRecord = {
  requestId: 'r-1',
  workerId: 'w-1',
  dataCentre: 'dc-a',
  at: 50_010,
  customer: 'acme',
  credential: 'kept-back',
  start: 'begun',
};

const STREAM: CallRecord = {
  ...CALL,
  kind: 'generation',
  end: { kind: 'answered', status: 200, mark: 'm-r-1', body: '', eventIds: [1, 2, 3] },
};

const check = (change: Partial<Observations>): readonly Finding['promise'][] => {
  const seen: Observations = {
    calls: [CALL],
    runs: [RUN],
    changes: [],
    terminations: [],
    disturbances: [],
    ...change,
  };
  return checkPromises(seen, ANSWERS).map(({ promise }) => promise);
};

const buildAnswered = (change: Partial<Extract<CallRecord['end'], { kind: 'answered' }>>) =>
  ({
    ...CALL,
    end: {
      kind: 'answered',
      status: 200,
      mark: 'm-r-1',
      body: 'answer to b',
      eventIds: [],
      ...change,
    },
  }) as const;

test('a request that was served once breaks nothing', (t) => {
  t.deepEqual(check({}), []);
  t.deepEqual(check({ calls: [STREAM] }), []);
});

// Guards against a check that cannot fail: each observation below breaks one promise.
test('each broken promise is found', (t) => {
  t.deepEqual(check({ runs: [RUN, { ...RUN, workerId: 'w-2' }] }), ['at-most-once']);
  t.deepEqual(check({ calls: [buildAnswered({ status: 503, mark: null })] }), ['true-refusal']);
  t.deepEqual(check({ calls: [buildAnswered({ mark: 'm-r-2' })] }), ['own-answer']);
  t.deepEqual(check({ calls: [buildAnswered({ mark: null })] }), ['own-answer']);
  t.deepEqual(check({ calls: [buildAnswered({ body: 'answer to c' })] }), ['own-answer']);
  t.deepEqual(check({ runs: [{ ...RUN, start: 'foreign-copy' }] }), ['own-answer']);
  t.deepEqual(check({ runs: [{ ...RUN, customer: 'other' }] }), ['own-customer']);
  t.deepEqual(check({ runs: [{ ...RUN, credential: 'leaked' }] }), ['own-customer']);
  t.deepEqual(check({ calls: [] }), ['unasked-run']);
});

test('events that are lost, doubled or end too early are found', (t) => {
  for (const eventIds of [
    [1, 3],
    [1, 1, 2, 3],
    [1, 2],
  ]) {
    const end = { ...STREAM.end, eventIds } as CallRecord['end'];
    t.deepEqual(check({ calls: [{ ...STREAM, end }] }), ['events-in-order']);
  }
  // A stream that was cut may end early.
  const cut: CallRecord = { ...STREAM, end: { kind: 'cut', eventIds: [1, 2] } };
  t.deepEqual(check({ calls: [cut] }), []);
});

test('bounds of time hold in calm times only', (t) => {
  const leaving = { kind: 'worker-leaving', workerId: 'w-1', at: 47_000 } as const;
  const revoked = { kind: 'key-revoked', key: 'key-1', at: 47_000 } as const;
  const out = { kind: 'data-centre-out', dataCentre: 'dc-a', at: 44_000, until: 60_000 } as const;
  t.deepEqual(check({ changes: [leaving] }), ['no-new-work-for-leaving']);
  t.deepEqual(check({ changes: [revoked] }), ['revoked-key']);
  t.deepEqual(check({ changes: [out] }), ['no-new-work-in-data-centre-out']);
  const disturbances = [{ from: 46_000, until: 46_500 }];
  t.deepEqual(check({ changes: [leaving, revoked, out], disturbances }), []);
});

test('a request that a draining process cuts is found', (t) => {
  const cut: CallRecord = { ...CALL, end: { kind: 'cut', eventIds: [] } };
  const terminations = [{ gateway: 0, incarnation: 1, at: 49_000 }];
  t.deepEqual(check({ calls: [cut], terminations }), ['drain-loses-nothing']);
  t.deepEqual(check({ calls: [cut] }), []);
  t.deepEqual(check({ calls: [cut], runs: [], terminations }), []);
});
