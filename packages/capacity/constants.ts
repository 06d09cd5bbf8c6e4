/** Timed rounds of a measurement; their median keeps a disturbed round out of the result. */
export const TIMED_ROUNDS = 25;

/** Minimum number of timed rounds, which run even when each takes a second. */
export const MIN_ROUNDS = 5;

/**
 * Time after which a measurement ends once it has the minimum number of rounds; it keeps a whole
 * run within minutes.
 */
export const MAX_TIMED_MS = 500;

/** Warm-up before the first timed round, in which the JIT compiler optimises the code. */
export const WARM_UP_MS = 200;

/** Minimum duration of a timed round; processor time is too coarse for shorter ones. */
export const MIN_ROUND_MS = 5;

/**
 * Prefixes and evidence rows in the heartbeats of the bench: a full prefix sketch, and two classes
 * on four routes.
 */
export const HEARTBEAT_PREFIXES = 32;
export const HEARTBEAT_EVIDENCE_ROWS = 8;

/** Directory to which results are written. */
export const RESULTS_DIRECTORY = 'results';
