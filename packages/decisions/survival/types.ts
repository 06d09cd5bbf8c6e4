import type { ClassName, CustomerId, VersionName } from '../../core/ids.js';

/** Whose output lengths are estimated together. */
export interface SurvivalKey {
  readonly className: ClassName;
  readonly customer: CustomerId;
  readonly version: VersionName;
}

/** Hazard per token in each bucket, with sums that make single questions cheap. */
export interface HazardCurve {
  /** Rate at which a generation ends, per token, constant within a bucket. */
  readonly rates: Float64Array;
  /** Integral of the rate up to the start of each bucket. */
  readonly cumulative: Float64Array;
}

/** Distribution of the tokens that a generation has still to produce. */
export interface RemainingEstimate {
  readonly mean: number;
  readonly variance: number;
  /** Returns the number of further tokens that is not exceeded with probability `p` in [0, 1]. */
  readonly quantile: (p: number) => number;
}

/** Read-only view of the estimates, an input of placement and admission. */
export interface SurvivalView {
  readonly estimateRemaining: (key: SurvivalKey, generated: number) => RemainingEstimate;
  /** Returns the hazard of a key, for several questions about one generation. */
  readonly getCurve: (key: SurvivalKey) => HazardCurve;
  /**
   * Returns the probability that a running generation, of which neither key nor progress is known,
   * goes on for `tokens` more tokens.
   */
  readonly estimateUnknownSurvival: (tokens: number) => number;
}
