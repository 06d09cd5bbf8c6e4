import type { Millis } from '../core/clock.js';

/** Largest duration that the histograms tell apart; a longer one counts as this. */
export const MAX_MEASURED_MS: Millis = 60_000;

/** Three digits keep differences of a tenth of a per cent visible. */
export const SIGNIFICANT_DIGITS = 3;

/** Period of the samples of memory and processor time. */
export const SAMPLE_PERIOD_MS: Millis = 500;

/** Resolution of the measurement of the client's event-loop delay; the least that Node takes. */
export const LOOP_DELAY_RESOLUTION_MS: Millis = 1;

/** Failures that are kept word by word. */
export const MAX_REPORTED_FAILURES = 5;

/** Seed of the pauses between the requests of a caller. */
export const PAUSE_SEED = 7;

/** Time within which `npm run demo` must be ready; it compiles first. */
export const DEMO_TIMEOUT_MS: Millis = 120_000;

/** Targets of the request path (design, 1.3). */
export const MAX_ADDED_GAP_FRACTION = 0.05;
export const MAX_ADDED_FIRST_TOKEN_MS: Millis = 3;
export const MAX_CONTROL_STATE_BYTES = 128 * 1024 * 1024;
export const CONTROL_STATE_STREAMS = 2_000;

/** Bound of one placement decision at the largest size (design, 1.3). */
export const MAX_PLACEMENT_MICROS = 50;
