/** Share of a canary; under the promised 5% so that chance in the choice stays below it. */
export const CANARY_SHARE = 0.04;

/** Shares of a route in the order in which it passes through them. */
export const SHARE_STAGES: readonly number[] = [CANARY_SHARE, 0.1, 0.25, 0.5, 1];

/**
 * Answers of the new version that a route needs before each stage. A version that fails one answer
 * in ten shows six faults in the first 60.
 */
export const STAGE_MIN_ANSWERS: readonly number[] = [0, 60, 120, 240, 480];

/** Part of the time to the deadline in which the stages are passed; the rest is reserve. */
export const RAMP_TIME_FRACTION = 0.85;

/** Part of the time to the deadline before which a move that cannot finish asks for an operator. */
export const ESCALATION_TIME_FRACTION = 0.1;

/** Shortest time at full share before a move is done. */
export const MIN_SOAK_MS = 10_000;

/** Part of the time to the deadline for which a full share is watched while there is time left. */
export const SOAK_TIME_FRACTION = 0.1;

/** Part of the time to the deadline in which a move no longer waits for more than the shortest soak. */
export const FINAL_TIME_FRACTION = 0.05;

/** Age of the newest report of the new version above which a share does not grow. */
export const EVIDENCE_MAX_AGE_MS = 3_000;

/** Interval after which a terminal record that was not read back is appended again. */
export const APPEND_RETRY_MS = 2_000;

/** Probability with which a version that is as good as the old one is taken back in one move. */
export const FALSE_ALARM_RATE = 0.01;

/** Cells of class, data centre and route among which the false-alarm rate is divided. */
export const MAX_CELLS = 64;

/** Evidence ratio above which a route falls back until the doubt has passed. */
export const SUSPICION_RATIO = 1_000;

/**
 * Stage of a route in doubt that has passed its canary. At the canary share, chance faults of a good
 * version took too long to fade: 2 of 400 simulated moves missed or nearly missed their deadline.
 */
export const SUSPICION_MAX_STAGE = 1;

/** Odds ratios of new to old that the test looks for: slightly, clearly and grossly worse. */
export const ODDS_RATIOS: readonly number[] = [3, 10, 50];

/** Weight of a fault that is there from the start; the rest is spread over the time of the move. */
export const EARLY_FAULT_WEIGHT = 0.5;

/** Answers of the old version that a comparison waits for, and the looks it waits at most. */
export const STRATUM_MIN_OLD_ANSWERS = 10;
/** Looks after which a comparison goes on with fewer answers of the old version. */
export const STRATUM_MAX_EVALUATIONS = 4;

/**
 * Slack of the comparison with the past of the old version: rates drift with the load of the day,
 * and the comparison at the same time takes care of smaller differences.
 */
export const DRIFT_FACTOR = 1.5;
/** Rate that is added to the drift, for versions that hardly ever fail. */
export const DRIFT_MARGIN = 0.01;

/** Weight that a recent count keeps at each look. */
export const RECENT_DECAY = 0.8;

/** Recent answers of the old version from which a common fault of both versions is recognised. */
export const RECENT_MIN_OLD_ANSWERS = 20;

/** Largest share of recent answers by the old version with which the traffic counts as moved. */
export const MOVED_MAX_OLD_SHARE = 0.05;

/**
 * Time after which another daemon sends a notice that the author of the terminal record has not
 * recorded as sent. It covers one webhook call that times out after 5 s, its repetition and the
 * append.
 */
export const NOTICE_TAKEOVER_MS = 15_000;

/** Interval over which the other daemons spread their take-over, so that the first one is alone. */
export const NOTICE_TAKEOVER_SPREAD_MS = 30_000;

/** Pause after a failed notice; each failure doubles it. */
export const NOTICE_RETRY_FIRST_MS = 1_000;
export const NOTICE_RETRY_MAX_MS = 60_000;

/** Pause between two appends of the record that a notice was sent. */
export const NOTICE_APPEND_RETRY_MS = 5_000;
