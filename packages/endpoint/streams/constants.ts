/** Period in which orphaned and finished generations are looked for. */
export const SWEEP_MS = 500;

/** Least time between two reports of a generation's progress to the admission limit. */
export const PROGRESS_REPORT_INTERVAL_MS = 250;

/** Time for which a refused resume is remembered; a start can hardly be on its way for longer. */
export const REFUSED_RESUME_RETENTION_MS = 60_000;

/**
 * Largest answer that is kept whole for a repeated key. The choices list of a token takes about 63
 * bytes as the engine stand-in writes it, so this holds some 8,000 tokens; a fence reply with it
 * stays far below the message bound of 4 MiB.
 */
export const MAX_RETAINED_ANSWER_BYTES = 512 * 1_024;
