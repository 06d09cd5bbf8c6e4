import test from 'ava';
import { runManyChanges } from './membershipSimulation.fixture.js';

const RUNS = 200;

// Guards against new work for a data centre that was taken out, under lost and late heartbeats,
// list lag, pauses and an entry daemon that cannot reach the log.
test('P3: a data centre taken out gets no new work after 3 s', (t) => {
  const result = runManyChanges(RUNS, 'data-centre-out', 'both');
  t.is(result.acceptedLate, 0);
  t.true(result.acceptedBefore > 0);
});

// Guards against a simulation that cannot detect the absence of a check. The check at the endpoint
// daemon refuses work that was in transit or that an entry daemon with an old configuration sent;
// the check at the entry daemon prevents that most of it is sent.
test('P3: the simulation detects a missing endpoint check and a missing entry check', (t) => {
  t.true(runManyChanges(RUNS, 'data-centre-out', 'entry-only').acceptedLate > 0);
  const both = runManyChanges(RUNS, 'data-centre-out', 'both').sentLate;
  t.true(runManyChanges(RUNS, 'data-centre-out', 'endpoint-only').sentLate > 2 * both);
});
