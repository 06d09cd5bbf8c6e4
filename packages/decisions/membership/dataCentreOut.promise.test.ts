import test from 'ava';
import { runManyChanges } from './membershipSimulation.fixture.js';

const RUNS = 200;

// Guards against new work for a data centre taken out under lost and late heartbeats, list lag, pauses and an
// entry daemon without the log.
test('P3: a data centre taken out gets no new work after 3 s', (t) => {
  const result = runManyChanges(RUNS, 'data-centre-out', 'both');
  t.is(result.acceptedLate, 0);
  t.true(result.acceptedBefore > 0);
});

// Guards against a simulation too tame to need both places: the endpoint daemon's refusal stops
// work that was already on its way or comes from an entry daemon that knows nothing, and the entry
// daemon's choice stops most of it from being sent.
test('P3: the simulation breaks the promise without the refusal, and wastes work without the choice', (t) => {
  t.true(runManyChanges(RUNS, 'data-centre-out', 'entry-only').acceptedLate > 0);
  const both = runManyChanges(RUNS, 'data-centre-out', 'both').sentLate;
  t.true(runManyChanges(RUNS, 'data-centre-out', 'endpoint-only').sentLate > 2 * both);
});
