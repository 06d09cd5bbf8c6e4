/** Crashes with one fingerprint after which it is quarantined. */
export const CRASHES_TO_QUARANTINE = 2;

/** Time for which a quarantine holds; a repaired engine may run the request after it. */
export const QUARANTINE_MS = 3_600_000;

/** Time after which a suspect that never ran again is forgotten. */
export const SUSPECT_MS = 600_000;

/**
 * Endpoints on which an untried fingerprint may run at a time; each of them may crash before the
 * first crash is known, so it equals the crashes that are tolerated.
 */
export const UNTRIED_ENDPOINTS = 2;

/** Endpoints lost within the window below that point to a rack, a switch or a data centre. */
export const CORRELATED_LOSSES = 3;

/** Covers the spread of the gone timers of endpoints that were lost together. */
export const CORRELATED_WINDOW_MS = 3_000;

/** Suspects kept; a crash adds as many as the endpoint ran at once. */
export const MAX_SUSPECTS = 4_096;

/** Quarantined fingerprints kept; above the bound the oldest one is dropped. */
export const MAX_QUARANTINED = 10_000;

/** Fingerprints kept that ran well; a forgotten one only counts as untried again. */
export const MAX_TRIED = 50_000;

/** Requests that may wait for their turn to run alone; more are refused. */
export const MAX_HELD = 256;

/** Interval after which an append to the log that was not read back is asked for again. */
export const APPEND_AGAIN_MS = 5_000;
