import test from 'ava';
import { runManyChanges } from './membershipSimulation.fixture.js';

const RUNS = 200;

// Guards against new work for a leaving endpoint, under lost and late heartbeats, list lag, pauses
// and an entry daemon that cannot reach the log.
test('P8: a leaving endpoint gets no new work after 3 s', (t) => {
  const result = runManyChanges(RUNS, 'endpoint-leaves', 'both');
  t.is(result.acceptedLate, 0);
  t.true(result.acceptedBefore > 0);
});

// Guards against a simulation that cannot detect the absence of a check. The check at the endpoint
// daemon refuses work that was in transit or that an entry daemon sent before it learned of the
// change; the check at the entry daemon prevents that most of it is sent.
test('P8: the simulation detects a missing endpoint check and a missing entry check', (t) => {
  t.true(runManyChanges(RUNS, 'endpoint-leaves', 'entry-only').acceptedLate > 0);
  const both = runManyChanges(RUNS, 'endpoint-leaves', 'both').sentLate;
  t.true(runManyChanges(RUNS, 'endpoint-leaves', 'endpoint-only').sentLate > 2 * both);
});
