import type { Millis } from '../../core/clock.js';

/** Time within which a record must be read back before its operator is told that it is open. */
export const OPERATION_TIMEOUT_MS: Millis = 10_000;

/** Time limit of one webhook call. */
export const WEBHOOK_TIMEOUT_MS: Millis = 5_000;
