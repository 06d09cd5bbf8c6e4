import type { Millis } from '../core/clock.js';

/** Largest duration of the histograms; a longer one is recorded as this one. */
export const MAX_MEASURED_MS: Millis = 60_000;

/** Significant digits of the histograms; with three, a difference of 0.1% stays visible. */
export const SIGNIFICANT_DIGITS = 3;

/** Period at which memory and processor time are sampled. */
export const SAMPLE_PERIOD_MS: Millis = 500;

/** Resolution of the client's event-loop delay measurement; the smallest that Node accepts. */
export const LOOP_DELAY_RESOLUTION_MS: Millis = 1;

/** Maximum number of failures whose messages are reported; further ones are only counted. */
export const MAX_REPORTED_FAILURES = 5;

/** Default seed of the random pauses between the requests of a caller. */
export const PAUSE_SEED = 7;

/** Time within which `npm run demo`, which compiles first, must be ready. */
export const DEMO_TIMEOUT_MS: Millis = 120_000;

/** Targets of the request path (design, 1.3). */
export const MAX_ADDED_GAP_FRACTION = 0.05;
export const MAX_ADDED_FIRST_TOKEN_MS: Millis = 3;
export const MAX_CONTROL_STATE_BYTES = 128 * 1024 * 1024;
export const CONTROL_STATE_STREAMS = 2_000;

/** Maximum p99 duration of a placement decision, also at the largest size (design, 1.3). */
export const MAX_PLACEMENT_MICROS = 50;
