import test from 'ava';
import fc from 'fast-check';
import { computeExcess, fleetPhases, runFleet } from './fleetHistory.fixture.js';
import type { RetryClaim } from './retryBudget.js';
import type { FleetPhase } from './fleetHistory.fixture.js';

const BUSY = { requests: [2, 2, 2, 2, 2, 2], failingShare: 1 };

const CLAIMS = ['another-run', 'same-run'] as const;

/** Five of six daemons are restarted together, `count` times. */
const buildRestarts = (count: number, claim: RetryClaim): readonly FleetPhase[] =>
  Array.from({ length: count }, (): readonly FleetPhase[] => [
    { ...BUSY, claim, ticks: 25, fault: { kind: 'restart', daemon: 0 } },
    ...[1, 2, 3, 4].map((daemon) => ({
      ...BUSY,
      claim,
      ticks: 1,
      fault: { kind: 'restart', daemon } as const,
    })),
  ]).flat();

// Guards against daemons that spend the slack again after each restart, so that the fleet exceeds its
// budget of retries (issue 39).
test('a fleet whose daemons restart in series stays within its budget', (t) => {
  for (const claim of CLAIMS) {
    const excess = computeExcess(runFleet(buildRestarts(6, claim)));
    t.true(excess <= 0, `${claim}: ${excess.toString()}`);
  }
});

// Guards against a fleet that exceeds its budget in some order of restarts, pauses and partitions.
test('no history of restarts, pauses and partitions exceeds the budget of the fleet', (t) => {
  const property = fc.property(fleetPhases, (phases) => computeExcess(runFleet(phases)) <= 0);
  t.notThrows(() => {
    fc.assert(property, { seed: 39, numRuns: 400 });
  });
});
