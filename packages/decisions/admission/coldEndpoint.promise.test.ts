import test from 'ava';
import fc from 'fast-check';
import { buildColdEngineProperty, runScenario } from './coldEngineSimulation.fixture.js';

// Guards against overloading a new or silently restarted engine, regardless of how many entry
// daemons send to it concurrently.
test('a cold engine never runs more sequences than its capacity', (t) => {
  let highestLimit = 0;
  fc.assert(
    buildColdEngineProperty((outcome) => {
      highestLimit = Math.max(highestLimit, outcome.highestLimit);
    }),
    { seed: 4_406, numRuns: 40 },
  );
  // The limit must grow; otherwise an endpoint that admits nothing would also pass.
  t.true(highestLimit >= 6, highestLimit.toString());
});

// Guards against a property that cannot fail: with a fixed limit, the same engine is overloaded.
test('the simulated engine collapses with a fixed limit', (t) => {
  const restarts = [{ at: 30_000, sign: 'broken-connections' as const }];
  t.true(runScenario({ seed: 1, entryDaemons: 3, limiting: 'fixed', restarts }).collapses > 0);
  const decided = runScenario({ seed: 1, entryDaemons: 3, limiting: 'decided', restarts });
  t.is(decided.collapses, 0);
  t.true(decided.finished >= 10, decided.finished.toString());
});
