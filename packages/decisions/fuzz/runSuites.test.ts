import test from 'ava';
import fc from 'fast-check';
import { TIME_SLICE_MS } from './constants.js';
import { replayPath, runSuites } from './runSuites.js';
import { buildSuite } from './suites.fixture.js';
import type { CheckParameters, FuzzSuite } from './types.js';

const SMALL_BOUND = 5_000;

const buildFailingSuite = (): FuzzSuite =>
  buildSuite(
    'violated',
    fc.property(fc.nat(100_000), (value) => {
      if (value >= SMALL_BOUND) throw new Error(`${value.toString()} is too large`);
    }),
  );

/** Builds a suite that uses its whole slice of the virtual time and finds no violation. */
const buildPassingSuite = (clock: { now: number }, checks: CheckParameters[]): FuzzSuite => ({
  name: 'passing',
  check: (parameters) => {
    checks.push(parameters);
    clock.now += parameters.interruptAfterTimeLimit ?? 0;
    return { kind: 'passed', runs: 10 };
  },
});

// Guards against a violation that is not reported, or cannot be reproduced from the report.
test('a violation is reported with the seed and path that reproduce it', (t) => {
  const clock = { now: 0 };
  const checks: CheckParameters[] = [];
  const lines: string[] = [];
  const suites = [buildFailingSuite(), buildPassingSuite(clock, checks)];
  const inputs = { seed: 42, durationMs: 3 * TIME_SLICE_MS, now: () => clock.now };
  const { runs, violations } = runSuites(suites, { ...inputs, print: (line) => lines.push(line) });
  t.is(lines[0], 'seed 42');
  t.is(violations.length, 1);
  const [violation] = violations;
  t.like(violation, { suite: 'violated', seed: 42, counterexample: '[5000]' });
  t.is(violation?.error, '5000 is too large');
  t.true(lines.some((line) => line.includes(`seed 42, path ${violation?.path ?? ''}`)));
  const again = replayPath(buildFailingSuite(), 42, violation?.path ?? '', () => undefined);
  t.like(again.violations[0], { counterexample: '[5000]', error: '5000 is too large' });
  // The other suite continues with a new seed in each round until the duration has passed.
  t.deepEqual(
    checks.map(({ seed }) => seed),
    [42, 43, 44],
  );
  t.is(runs.get('passing'), 30);
});

// Guards against a replay that reports a violation although the property holds.
test('the replay of a path without a violation reports none', (t) => {
  const passing = buildSuite(
    'passing',
    fc.property(fc.nat(), (value) => value >= 0),
  );
  t.deepEqual(replayPath(passing, 1, '0', () => undefined).violations, []);
});
