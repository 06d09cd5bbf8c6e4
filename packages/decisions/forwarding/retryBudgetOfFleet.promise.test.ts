import test from 'ava';
import { computeExcess, runFleet } from './fleetHistory.fixture.js';
import type { FleetPhase } from './fleetHistory.fixture.js';

const BUSY = { requests: [2, 2, 2, 2, 2, 2], failingShare: 1 };

/** Five of six daemons are restarted together, `count` times. */
const buildRestarts = (count: number): readonly FleetPhase[] =>
  Array.from({ length: count }, (): readonly FleetPhase[] => [
    { ...BUSY, ticks: 25, fault: { kind: 'restart', daemon: 0 } },
    ...[1, 2, 3, 4].map((daemon) => ({
      ...BUSY,
      ticks: 1,
      fault: { kind: 'restart', daemon } as const,
    })),
  ]).flat();

// Guards against daemons that spend the slack again after each restart, so that the fleet exceeds its
// budget of retries (issue 39).
test('a fleet whose daemons restart in series stays within its budget', (t) => {
  t.true(computeExcess(runFleet(buildRestarts(6))) <= 0);
});
