import test from 'ava';
import { MOVE, runMove } from './moveSimulation.fixture.js';
import type { MoveRun, VersionBehaviour } from './moveSimulation.fixture.js';

const GOOD_RUNS = 12;
const BAD_RUNS = 6;
const REQUESTS_PER_SECOND = 40;

const runSeeds = (behaviour: VersionBehaviour, runs: number): readonly MoveRun[] =>
  Array.from({ length: runs }, (_, index) =>
    runMove({ seed: 100 + index, behaviour, requestsPerSecond: REQUESTS_PER_SECOND }),
  );

// Guards against a good version that is rolled back or misses its deadline when reports are lost,
// late and reordered, endpoints restart, the log is unavailable and both versions fail more often.
test('P4: a good version finishes by its deadline in every run', (t) => {
  for (const run of runSeeds('good', GOOD_RUNS)) {
    t.is(run.record?.outcome, 'done');
    t.true((run.record?.at ?? Infinity) <= MOVE.deadline);
    t.deepEqual(run.phases, ['done', 'done', 'done']);
  }
});

// A fault is detectable from the instant at which it has affected ten requests.
for (const behaviour of [
  'fails-always',
  'fails-half',
  'slow',
  'fails-late',
  'fails-under-load',
  'fails-on-one-route',
] as const) {
  // Guards against a bad version that still receives requests after its fault is detectable.
  test(`P4: a bad version (${behaviour}) receives no requests 5 s after a detectable fault`, (t) => {
    for (const run of runSeeds(behaviour, BAD_RUNS)) {
      t.is(run.record?.outcome, 'taken-back');
      t.is(run.lateRequestsToNew, 0);
      t.deepEqual(run.phases, ['taken-back', 'taken-back', 'taken-back']);
    }
  });
}

// Guards against a canary that sends more than 5% to a version that is bad from the start. Requests
// are drawn independently, so one run may deviate by three standard deviations.
test('P4: a version that is bad from the start receives at most 5% of the traffic', (t) => {
  for (const behaviour of ['fails-always', 'fails-half', 'slow', 'fails-on-one-route'] as const) {
    const runs = runSeeds(behaviour, BAD_RUNS);
    const requests = runs.reduce((sum, run) => sum + run.requests, 0);
    const toNew = runs.reduce((sum, run) => sum + run.requestsToNew, 0);
    t.true(toNew <= 0.05 * requests, `${toNew.toString()} of ${requests.toString()}`);
    for (const run of runs) {
      t.true(run.requestsToNew <= 0.05 * run.requests + 3 * Math.sqrt(0.05 * run.requests));
    }
  }
});

// Guards against daemons with different outcomes when an operator's order races with the end.
test('P4: the first terminal record is final at every entry daemon', (t) => {
  const outcomes = new Set<string>();
  for (const orderAt of [60_000, 180_000, 222_000, 224_000, 226_000, 228_000, 250_000]) {
    const run = runMove({ seed: 7, behaviour: 'good', requestsPerSecond: 40, orderAt });
    outcomes.add(run.record?.outcome ?? 'none');
    t.deepEqual(
      run.phases,
      run.phases.map(() => run.record?.outcome ?? 'none'),
    );
  }
  t.deepEqual([...outcomes].sort(), ['done', 'taken-back']);
});

// Guards against a move that proceeds without evidence: the canary answers one request in 5 s.
test('P4: too little evidence near the deadline calls an operator and keeps the canary', (t) => {
  const run = runMove({ seed: 3, behaviour: 'good', requestsPerSecond: 5 });
  t.is(run.record, null);
  t.is(run.operatorCalls, 3);
  t.true(run.requestsToNew < 0.08 * run.requests);
});

// Guards against an oracle that cannot detect a violation: without evidence the canary keeps its
// share.
test('P4: the simulation finds a violation without the evidence', (t) => {
  const scenario = { seed: 100, behaviour: 'fails-always', requestsPerSecond: 40 } as const;
  t.true(runMove({ ...scenario, reports: 'none' }).lateRequestsToNew > 0);
});
