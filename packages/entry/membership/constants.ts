/** Period of looking for endpoints that have gone silent. */
export const TICK_MS = 250;

/** Lateness of a tick above which the process counts as paused. */
export const PAUSE_MS = 1_000;
