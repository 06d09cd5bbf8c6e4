/** Interval of the checks for endpoints whose heartbeats have stopped. */
export const TICK_MS = 250;

/** Lateness of a tick at which the process is considered to have been paused. */
export const PAUSE_THRESHOLD_MS = 1_000;
