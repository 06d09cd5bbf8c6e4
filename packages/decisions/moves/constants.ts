/** Canary share; below the promised 5% so that random variation in the choice stays under it. */
export const CANARY_SHARE = 0.04;

/** Shares of the new version on a route, by stage. */
export const SHARE_STAGES: readonly number[] = [CANARY_SHARE, 0.1, 0.25, 0.5, 1];

/**
 * Answers of the new version that a route needs before it enters each stage. A version that fails
 * one answer in ten shows six faults in the first 60.
 */
export const STAGE_MIN_ANSWERS: readonly number[] = [0, 60, 120, 240, 480];

/** Fraction of the time to the deadline in which the stages are passed; the rest is a margin. */
export const RAMP_TIME_FRACTION = 0.85;

/** Fraction of the time to the deadline that is left when a move below full share escalates. */
export const ESCALATION_TIME_FRACTION = 0.1;

/** Minimum time at full share before a move is done. */
export const MIN_SOAK_MS = 10_000;

/** Fraction of the time to the deadline that a move stays at full share while time is left. */
export const SOAK_TIME_FRACTION = 0.1;

/** Final fraction of the time to the deadline, in which the minimum soak suffices. */
export const FINAL_TIME_FRACTION = 0.05;

/** Age of the newest report of the new version above which shares fall back to the canary. */
export const EVIDENCE_MAX_AGE_MS = 3_000;

/** Interval after which a terminal record that was not read back is appended again. */
export const APPEND_RETRY_MS = 2_000;

/** Probability that a move rolls back a new version that is as good as the old one. */
export const FALSE_ALARM_RATE = 0.01;

/** Cells of class, data centre and route over which the false-alarm rate is divided. */
export const MAX_CELLS = 64;

/** Evidence ratio at which a route falls back to an early stage until the evidence has faded. */
export const SUSPICION_RATIO = 1_000;

/**
 * Highest stage of a route on which a fault is suspected. It is above the canary, where the random
 * faults of a good version faded too slowly: 2 of 400 simulated moves missed or nearly missed their
 * deadline.
 */
export const SUSPICION_MAX_STAGE = 1;

/** Odds ratios of new to old that are tested: slightly, clearly and grossly worse. */
export const ODDS_RATIOS: readonly number[] = [3, 10, 50];

/** Prior weight of a fault present from the start; the rest is spread over the move's duration. */
export const EARLY_FAULT_WEIGHT = 0.5;

/** Answers of the old version that a concurrent comparison waits for. */
export const STRATUM_MIN_OLD_ANSWERS = 10;
/** Evaluations after which a comparison proceeds with fewer answers of the old version. */
export const STRATUM_MAX_EVALUATIONS = 4;

/**
 * Tolerance of the historical comparison: fault rates drift with the daily load, and the concurrent
 * comparison detects smaller differences.
 */
export const DRIFT_FACTOR = 1.5;
/** Fault rate added to the tolerance, for versions that hardly ever fail. */
export const DRIFT_MARGIN = 0.01;

/** Factor by which recent counts decay at each evaluation. */
export const RECENT_DECAY = 0.8;

/** Recent answers of the old version needed to detect a fault that both versions share. */
export const RECENT_MIN_OLD_ANSWERS = 20;

/** Largest share of recent answers from the old version at which traffic counts as moved. */
export const MOVED_MAX_OLD_SHARE = 0.05;

/**
 * Time after which another daemon sends a notice that the author of the terminal record has not
 * recorded as sent. It covers one webhook call that times out after 5 s, its retry and the append.
 */
export const NOTICE_TAKEOVER_MS = 15_000;

/** Interval over which the other daemons spread their takeover, so that only one sends first. */
export const NOTICE_TAKEOVER_SPREAD_MS = 30_000;

/** Back-off after a failed notice; each further failure doubles it. */
export const NOTICE_RETRY_FIRST_MS = 1_000;
/** Upper bound of the back-off. */
export const NOTICE_RETRY_MAX_MS = 60_000;

/** Interval after which the record of a sent notice is appended again. */
export const NOTICE_APPEND_RETRY_MS = 5_000;
