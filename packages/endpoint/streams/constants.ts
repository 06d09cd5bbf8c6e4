/** Interval of the sweep that cancels orphaned generations and releases ended ones. */
export const SWEEP_MS = 500;

/** Minimum time between two reports of a generation's progress to the admission limit. */
export const PROGRESS_REPORT_INTERVAL_MS = 250;

/** Time for which a refused resume is remembered; a start is rarely delayed for longer. */
export const REFUSED_RESUME_RETENTION_MS = 60_000;

/**
 * Maximum size of an answer that is retained for later requests with the same key. The `choices`
 * list of a token takes about 63 bytes in the output of the engine stand-in, so about 8,000 tokens
 * fit. A fence reply with such an answer stays far below the message limit of 4 MiB.
 */
export const MAX_RETAINED_ANSWER_BYTES = 512 * 1_024;
