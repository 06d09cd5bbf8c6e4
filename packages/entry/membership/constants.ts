/** Interval of the checks for endpoints whose heartbeats have stopped. */
export const TICK_MS = 250;

/** Delay of a tick from which this process counts as paused. */
export const PAUSE_THRESHOLD_MS = 1_000;
