/**
 * Limit of the endpoints whose statements are remembered, about 2 MB. A fleet has far fewer; ids that
 * come and go for a whole day fit, too.
 */
export const MAX_STATED_ENDPOINTS = 4_096;

/**
 * Limit of the incarnations of one endpoint whose statements are remembered. A restored store may
 * return the record of one before the newest.
 */
export const MAX_STATED_INCARNATIONS = 4;

/** Limit of the leaving endpoints that are kept for the reports to other daemons. */
export const MAX_REPORTED_LEAVING = 64;

/** Time by which the end of a rest has to move for a log line; an endpoint's wish takes effect in it. */
export const REST_LOG_STEP_MS = 500;
