import test from 'ava';
import fc from 'fast-check';
import { createUsageFleet, findBrokenPromise, SETTINGS } from './usageFleet.fixture.js';
import type { FleetFault } from './usageFleet.fixture.js';

const STEPS_PER_SECOND = 20;
const RUNS = 2_000;
const SEED = 48;

/** Short windows, so that there is a report to send at most moments. */
const SHORT_WINDOWS = { ...SETTINGS, windowMs: 1_000 };

const daemon = fc.oneof(fc.constant('holder' as const), fc.nat({ max: 4 }));
const steps = fc.oneof(fc.integer({ min: 1, max: 120 }), fc.integer({ min: 20, max: 60 }));

const fault: fc.Arbitrary<FleetFault> = fc.oneof(
  fc.record({ kind: fc.constant('freeze'), daemon, steps }),
  fc.record({ kind: fc.constant('suspend'), daemon, steps }),
  fc.record({ kind: fc.constant('restart'), daemon }),
  fc.record({ kind: fc.constant('drain'), daemon: fc.nat({ max: 4 }) }),
  fc.record({ kind: fc.constant('cut'), daemon, steps }),
  fc.record({
    kind: fc.constant('lose-answers'),
    steps,
    lateSteps: fc.integer({ min: 0, max: 80 }),
  }),
  fc.record({ kind: fc.constant('outage'), steps }),
  fc.record({
    kind: fc.constant('slow-log'),
    steps,
    delaySteps: fc.integer({ min: 1, max: 60 }),
  }),
  fc.record({
    kind: fc.constant('step-wall'),
    daemon,
    byMs: fc.integer({ min: -4_000, max: 4_000 }),
  }),
  fc.record({ kind: fc.constant('silence-service'), steps }),
) as fc.Arbitrary<FleetFault>;

const history = fc.array(
  fc.record({ fault, after: fc.integer({ min: 1, max: 60 }), customer: fc.nat({ max: 3 }) }),
  { minLength: 8, maxLength: 40 },
);

// Guards against two holders at a time, and against two reports of one window with other counts, after
// any series of frozen, suspended, restarted, draining and cut daemons, lost and late appends, outages
// of the log, a silent service and steps of the time of day.
test('one daemon at a time reports usage, and each window with the same counts', (t) => {
  t.timeout(120_000);
  let reported = 0;
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 5 }), history, (size, events) => {
      const fleet = createUsageFleet(size, SHORT_WINDOWS);
      fleet.run(STEPS_PER_SECOND * 8);
      for (const { after, customer, fault: next } of events) {
        fleet.countRequest(after, `customer-${customer.toString()}`);
        fleet.run(after);
        fleet.applyFault(next);
      }
      fleet.run(STEPS_PER_SECOND * 12);
      reported += fleet.getReports().length;
      return findBrokenPromise(fleet.getReports()) === null;
    }),
    { numRuns: RUNS, seed: SEED },
  );
  // Histories without a report would show nothing.
  t.true(reported > RUNS);
});

const countReported = (fleet: ReturnType<typeof createUsageFleet>, window: number): number => {
  const report = fleet.getReports().find((candidate) => candidate.window === window);
  return [...(report?.counts.values() ?? [])].reduce((sum, count) => sum + count, 0);
};

// Guards against a window that nobody reports, or whose counts lack those of a daemon.
test('a window is reported in time with the counts of all daemons', (t) => {
  const fleet = createUsageFleet(8);
  fleet.run(STEPS_PER_SECOND * 11);
  const window = fleet.findWindowAt();
  for (let request = 0; request < 40; request += 1) fleet.countRequest(request, 'acme');
  fleet.run((STEPS_PER_SECOND * (SETTINGS.windowMs + SETTINGS.dueMs)) / 1_000);
  t.is(countReported(fleet, window), 40);
});

// Guards against a holder that is lost after a window has ended, which nobody else reports then.
test('a window whose holder is lost is reported by another daemon in time', (t) => {
  const fleet = createUsageFleet(8);
  fleet.run(STEPS_PER_SECOND * 11);
  const window = fleet.findWindowAt();
  for (let request = 0; request < 40; request += 1) fleet.countRequest(request, 'acme');
  fleet.run(STEPS_PER_SECOND * 3.9);
  const holder = Number(fleet.getHolder()?.split('.').at(-1) ?? 0);
  fleet.applyFault({ kind: 'freeze', daemon: holder, steps: STEPS_PER_SECOND * 60 });
  fleet.run((STEPS_PER_SECOND * SETTINGS.dueMs) / 1_000);
  t.true(countReported(fleet, window) >= 35);
  t.not(fleet.getHolder(), `10.0.0.${holder.toString()}`);
});
