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

/** Maximum number of quarantined sets of several prompt parts, each of which is checked. */
export const MAX_PART_SETS = 64;

/**
 * Maximum number of completed fingerprints. A dropped one is again limited to
 * `MAX_ENDPOINTS_BEFORE_COMPLETION` until one of its requests completes.
 */
export const MAX_COMPLETED = 50_000;

/** Maximum number of requests that wait to run in isolation; more are refused. */
export const MAX_HELD_REQUESTS = 256;

/** Time after which the append of a quarantine record that was not read back is requested again. */
export const APPEND_RETRY_MS = 5_000;

/**
 * Points at which a fingerprint without a survival is quarantined. A crash counts 2 for a request
 * whose answer was beginning and 1 for one that waited, so this takes two or three endpoints.
 */
export const QUARANTINE_POINTS = 3;

/** The same limit for a fingerprint that endpoints answered before without a crash. */
export const PROVEN_QUARANTINE_POINTS = 8;

/**
 * Time after its latest crash during which a fingerprint is quarantined and its crashes are
 * retained.
 */
export const CRASH_RETENTION_MS = 600_000;

/**
 * Crashes within this time count as one. When several endpoints end together, the cause is shared
 * and not a request on each of them.
 */
export const CORRELATED_CRASH_MS = 200;

/** Maximum number of crash reports that are retained; there is one for each affected request. */
export const MAX_CRASH_REPORTS = 500;

/**
 * Maximum number of fingerprints in all crash reports that are retained. A request has one for each
 * part of its prompt, some thousands at most.
 */
export const MAX_CRASH_FINGERPRINTS = 16_384;

/**
 * Maximum number of sets of prompt parts that are quarantined as causes of crashes; those with the most
 * crashes are.
 */
export const MAX_LEADING_CLASSES = 64;

/** Maximum number of fingerprints whose survivals are retained; the oldest is dropped. */
export const MAX_PROVEN_FINGERPRINTS = 10_000;
