import type { Millis } from '../../core/clock.js';

/** Parameters of fast-check that make one check repeatable. */
export interface CheckParameters {
  readonly seed: number;
  readonly numRuns: number;
  /** Path of a known counterexample; only it is run. */
  readonly path?: string;
  /** Time after which the check ends without a verdict on the runs that are left. */
  readonly interruptAfterTimeLimit?: Millis;
}

/** A property that a promise or a decision must have, with its generator of inputs. */
export interface FuzzSuite {
  readonly name: string;
  readonly check: (parameters: CheckParameters) => CheckResult;
}

/** What one check showed. */
export type CheckResult =
  | { readonly kind: 'kept'; readonly runs: number }
  | {
      readonly kind: 'violated';
      readonly runs: number;
      readonly seed: number;
      readonly path: string;
      readonly counterexample: string;
      readonly error: string;
    };

/** Counterexample of a suite. */
export interface FuzzViolation {
  readonly suite: string;
  readonly seed: number;
  readonly path: string;
  readonly counterexample: string;
  readonly error: string;
}

/** Result of a whole fuzzing run. */
export interface FuzzReport {
  /** Runs of each suite by its name. */
  readonly runs: ReadonlyMap<string, number>;
  readonly violations: readonly FuzzViolation[];
}
