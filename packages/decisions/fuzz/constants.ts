/** Time given to one suite before the next one's turn. */
export const SLICE_MS = 2_000;

/** Time given to the search for a smaller counterexample. */
export const SHRINK_MS = 20_000;

/** Runs of one check; its time limit ends it earlier. */
export const MAX_RUNS = 1_000_000;
