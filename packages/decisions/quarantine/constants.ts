/** Lost endpoint incarnations after which a fingerprint that was in flight is quarantined. */
export const LOSSES_TO_QUARANTINE = 2;

/** Duration of a quarantine. Afterwards the request may run again, on a repaired engine. */
export const QUARANTINE_DURATION_MS = 3_600_000;

/** Time after its newest loss at which a suspect that is not in flight is cleared. */
export const SUSPECT_TTL_MS = 600_000;

/**
 * Maximum number of endpoints that run a fingerprint at once before one of its requests completed.
 * All of them may crash before the first crash is known, so it equals the number of crashes that are
 * tolerated.
 */
export const MAX_ENDPOINTS_BEFORE_COMPLETION = 2;

/**
 * Minimum number of endpoints lost within `CORRELATED_WINDOW_MS` that indicates the failure of a
 * rack, a switch or a data centre.
 */
export const MIN_CORRELATED_LOSSES = 3;

/** Covers the spread of the silence timeouts of endpoints that were lost at the same time. */
export const CORRELATED_WINDOW_MS = 3_000;

/** Maximum number of suspects; one crash adds every fingerprint in flight at the endpoint. */
export const MAX_SUSPECTS = 4_096;

/** Maximum number of quarantined fingerprints; beyond it the oldest one is dropped. */
export const MAX_QUARANTINED = 10_000;

/**
 * Maximum number of completed fingerprints. A dropped one is again limited to
 * `MAX_ENDPOINTS_BEFORE_COMPLETION` until one of its requests completes.
 */
export const MAX_COMPLETED = 50_000;

/** Maximum number of requests that wait to run in isolation; more are refused. */
export const MAX_HELD_REQUESTS = 256;

/** Time after which the append of a quarantine record that was not read back is requested again. */
export const APPEND_RETRY_MS = 5_000;
