/** Period in which a draining process looks whether its work has ended. */
export const DRAIN_CHECK_MS = 100;
