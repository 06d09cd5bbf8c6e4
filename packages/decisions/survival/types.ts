import type { ClassName, CustomerId, VersionName } from '../../core/ids.js';

/** Group of requests whose output lengths are estimated together. */
export interface SurvivalKey {
  readonly className: ClassName;
  readonly customer: CustomerId;
  readonly version: VersionName;
}

/** Hazard per token in each bucket, with prefix sums for fast lookups. */
export interface HazardCurve {
  /** Rate per token at which generations end; constant within a bucket. */
  readonly rates: Float64Array;
  /** Integral of the rate up to the start of each bucket. */
  readonly cumulative: Float64Array;
}

/** Distribution of the number of tokens that a generation has yet to produce. */
export interface RemainingEstimate {
  readonly mean: number;
  readonly variance: number;
  /** Returns the number of further tokens that is not exceeded with probability `p` in [0, 1]. */
  readonly quantile: (p: number) => number;
}

/** Read-only view of the length estimates, used by placement, admission and preemption. */
export interface SurvivalView {
  readonly estimateRemaining: (key: SurvivalKey, generated: number) => RemainingEstimate;
  /** Returns the hazard curve of a key, for several estimates about one generation. */
  readonly getCurve: (key: SurvivalKey) => HazardCurve;
  /**
   * Returns the probability that a running generation of unknown key and progress produces at least
   * `tokens` more tokens.
   */
  readonly estimateUnknownSurvival: (tokens: number) => number;
}
