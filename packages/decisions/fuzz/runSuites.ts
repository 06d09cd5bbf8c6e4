import { MAX_RUNS, SHRINK_TIME_LIMIT_MS, TIME_SLICE_MS } from './constants.js';
import type { CheckResult, FuzzReport, FuzzSuite, FuzzViolation } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Inputs of a fuzzing run. */
export interface FuzzInputs {
  readonly seed: number;
  readonly durationMs: Millis;
  readonly now: () => Millis;
  /** Writes one line of output. */
  readonly print: (line: string) => void;
}

type ViolatedResult = Extract<CheckResult, { readonly kind: 'violated' }>;

/** Continues the search for a smaller counterexample that the slice's time limit interrupted. */
const findSmallerCounterexample = (suite: FuzzSuite, found: ViolatedResult): ViolatedResult => {
  const { seed, path } = found;
  const parameters = {
    seed,
    path,
    numRuns: MAX_RUNS,
    interruptAfterTimeLimit: SHRINK_TIME_LIMIT_MS,
  };
  const result = suite.check(parameters);
  return result.kind === 'violated' ? result : found;
};

const printViolation = (violation: FuzzViolation, print: FuzzInputs['print']): void => {
  const { suite, seed, path } = violation;
  print(`violation of ${suite}: ${violation.error}`);
  print(`seed ${seed.toString()}, path ${path}`);
  print(`counterexample ${violation.counterexample}`);
  print(
    `reproduce with: npm run fuzz -- --suite ${suite} --seed ${seed.toString()} --path ${path}`,
  );
};

/**
 * Runs the suites in turn until the duration has passed. Round n uses the seed plus n, so that one
 * seed reproduces all rounds. A suite with a violation is not run again.
 *
 * @param suites - suites to run
 * @param inputs - seed, duration, clock and output
 * @returns the runs of each suite and the violations
 */
export const runSuites = (suites: readonly FuzzSuite[], inputs: FuzzInputs): FuzzReport => {
  const { now, print } = inputs;
  const sliceMs = Math.min(TIME_SLICE_MS, inputs.durationMs / suites.length);
  const endAt = now() + inputs.durationMs;
  const runs = new Map(suites.map(({ name }) => [name, 0]));
  const violations: FuzzViolation[] = [];
  print(`seed ${inputs.seed.toString()}`);
  let remaining = suites;
  for (let round = 0; remaining.length > 0 && now() < endAt; round += 1) {
    const seed = (inputs.seed + round) | 0;
    for (const suite of remaining) {
      const limit = Math.min(sliceMs, endAt - now());
      if (limit <= 0) break;
      const result = suite.check({ seed, numRuns: MAX_RUNS, interruptAfterTimeLimit: limit });
      runs.set(suite.name, (runs.get(suite.name) ?? 0) + result.runs);
      if (result.kind === 'passed') continue;
      const { path, counterexample, error } = findSmallerCounterexample(suite, result);
      const violation = { suite: suite.name, seed, path, counterexample, error };
      violations.push(violation);
      printViolation(violation, print);
      remaining = remaining.filter(({ name }) => name !== suite.name);
    }
  }
  return { runs, violations };
};

/**
 * Replays a known counterexample.
 *
 * @param suite - suite whose property it violates
 * @param seed - seed of the check that found it
 * @param path - path of the counterexample
 * @param print - writes one line of output
 * @returns the report of this single run
 */
export const replayPath = (
  suite: FuzzSuite,
  seed: number,
  path: string,
  print: FuzzInputs['print'],
): FuzzReport => {
  print(`seed ${seed.toString()}`);
  const result = suite.check({ seed, path, numRuns: 1 });
  const runs = new Map([[suite.name, result.runs]]);
  if (result.kind === 'passed') return { runs, violations: [] };
  const { counterexample, error } = result;
  const violation = { suite: suite.name, seed, path: result.path, counterexample, error };
  printViolation(violation, print);
  return { runs, violations: [violation] };
};
