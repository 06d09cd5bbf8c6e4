import test from 'ava';
import fc from 'fast-check';
import { buildColdEngineProperty, runScenario } from './coldEngineSimulation.fixture.js';

// Guards against a fresh or silently restarted engine that collapses under full load, whatever the
// number of entry daemons that send to it at once.
test('a cold engine is never given more than it can bear', (t) => {
  let highestLimit = 0;
  fc.assert(
    buildColdEngineProperty((outcome) => {
      highestLimit = Math.max(highestLimit, outcome.highestLimit);
    }),
    { seed: 4_406, numRuns: 40 },
  );
  // The limit must grow, or the promise would be kept by an endpoint that does no work.
  t.true(highestLimit >= 6, highestLimit.toString());
});

// Guards against a test that cannot fail: with a fixed limit the same engine does collapse.
test('the engine model collapses when the limit is left fixed', (t) => {
  const restarts = [{ at: 30_000, sign: 'broken-connections' as const }];
  t.true(runScenario({ seed: 1, entryDaemons: 3, limiting: 'fixed', restarts }).collapses > 0);
  const decided = runScenario({ seed: 1, entryDaemons: 3, limiting: 'decided', restarts });
  t.is(decided.collapses, 0);
  t.true(decided.finished >= 10, decided.finished.toString());
});
