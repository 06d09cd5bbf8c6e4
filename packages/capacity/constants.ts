/** Rounds of a timed piece of work; the median keeps one disturbed round out of the result. */
export const TIMED_ROUNDS = 25;

/** Rounds that are made in any case, even when one takes a second. */
export const MIN_ROUNDS = 5;

/** Time after which no more than the least rounds are made; keeps a whole run within minutes. */
export const MAX_TIMED_MS = 500;

/** Time before the first timed round, in which the compiler optimises the code. */
export const WARM_UP_MS = 200;

/** Least duration of a timed round; processor time is too coarse for shorter ones. */
export const MIN_ROUND_MS = 5;

/** Prefixes and rows of evidence in the heartbeats of the bench: a full sketch, two classes on four routes. */
export const HEARTBEAT_PREFIXES = 32;
export const HEARTBEAT_EVIDENCE_ROWS = 8;

/** Directory of the written results. */
export const RESULTS_DIRECTORY = 'results';
