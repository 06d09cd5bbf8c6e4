/** Time for which one suite runs before the next one. */
export const TIME_SLICE_MS = 2_000;

/** Time limit of the search for a smaller counterexample. */
export const SHRINK_TIME_LIMIT_MS = 20_000;

/** Maximum runs of one check; the time limit usually ends it earlier. */
export const MAX_RUNS = 1_000_000;
