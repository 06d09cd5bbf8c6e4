import type { Millis } from '../../core/clock.js';

/** Time within which an appended record must be read back; later, its outcome is unknown. */
export const OPERATION_TIMEOUT_MS: Millis = 10_000;

/** Timeout of one webhook call. */
export const WEBHOOK_TIMEOUT_MS: Millis = 5_000;
