import test from 'ava';
import { runManyChanges } from './membershipSimulation.fixture.js';

const RUNS = 200;

// Guards against new work for a leaving endpoint under lost and late heartbeats, list lag, pauses and an
// entry daemon without the log.
test('P8: a leaving endpoint gets no new work after 3 s', (t) => {
  const result = runManyChanges(RUNS, 'endpoint-leaves', 'both');
  t.is(result.acceptedLate, 0);
  t.true(result.acceptedBefore > 0);
});

// Guards against a simulation too tame to need both places: the endpoint daemon's refusal stops
// work that was already on its way or comes from an entry daemon that knows nothing, and the entry
// daemon's choice stops most of it from being sent.
test('P8: the simulation breaks the promise without the refusal, and wastes work without the choice', (t) => {
  t.true(runManyChanges(RUNS, 'endpoint-leaves', 'entry-only').acceptedLate > 0);
  const both = runManyChanges(RUNS, 'endpoint-leaves', 'both').sentLate;
  t.true(runManyChanges(RUNS, 'endpoint-leaves', 'endpoint-only').sentLate > 2 * both);
});
