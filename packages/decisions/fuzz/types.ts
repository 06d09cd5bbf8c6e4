import type { Millis } from '../../core/clock.js';

/** Parameters of one fast-check check; the seed makes it reproducible. */
export interface CheckParameters {
  readonly seed: number;
  readonly numRuns: number;
  /** Path of a known counterexample, which the check replays. */
  readonly path?: string;
  /** Time after which the check ends; the remaining runs are not executed. */
  readonly interruptAfterTimeLimit?: Millis;
}

/** Property of a promise or a decision, with the generator of its inputs. */
export interface FuzzSuite {
  readonly name: string;
  readonly check: (parameters: CheckParameters) => CheckResult;
}

/** Result of one check; `passed` means that no run violated the property. */
export type CheckResult =
  | { readonly kind: 'passed'; readonly runs: number }
  | {
      readonly kind: 'violated';
      readonly runs: number;
      readonly seed: number;
      readonly path: string;
      readonly counterexample: string;
      readonly error: string;
    };

/** Violation of a suite's property, with what is needed to reproduce it. */
export interface FuzzViolation {
  readonly suite: string;
  readonly seed: number;
  readonly path: string;
  readonly counterexample: string;
  readonly error: string;
}

/** Result of a fuzzing run. */
export interface FuzzReport {
  /** Number of runs by suite name. */
  readonly runs: ReadonlyMap<string, number>;
  readonly violations: readonly FuzzViolation[];
}
