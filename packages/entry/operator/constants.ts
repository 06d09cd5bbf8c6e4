import type { Millis } from '../../core/clock.js';

/** Time to read a record back from the log; after it, the outcome is reported as unknown. */
export const OPERATION_TIMEOUT_MS: Millis = 10_000;

/** Timeout of one webhook call. */
export const WEBHOOK_TIMEOUT_MS: Millis = 5_000;
