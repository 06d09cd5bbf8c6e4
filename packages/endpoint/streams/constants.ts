/** Period in which orphaned and finished generations are looked for. */
export const SWEEP_MS = 500;

/** Least time between two reports of a generation's progress to the admission limit. */
export const PROGRESS_REPORT_MS = 250;

/** Time for which a refused resume is remembered; a start can hardly be on its way for longer. */
export const REFUSED_KEPT_MS = 60_000;
