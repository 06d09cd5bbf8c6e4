/** Interval at which a draining process checks whether its work has ended. */
export const DRAIN_CHECK_MS = 100;
