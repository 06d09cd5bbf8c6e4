/** Period in which orphaned and finished generations are looked for. */
export const SWEEP_MS = 500;

/** Least time between two reports of a generation's progress to the admission limit. */
export const PROGRESS_REPORT_MS = 250;
