/** Maximum size of a platform response; a log page of 1,000 records of 16 KiB fits. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Maximum size of the responses that a client receives at a time. */
export const MAX_TOTAL_BYTES = 48 * 1024 * 1024;

/**
 * Time for which an idle connection is kept for the next request. One that has been idle for longer
 * may have fallen silent, which only a timeout would show.
 */
export const MAX_IDLE_MS = 100;

/** Maximum number of records in one read of a stream when the caller sets no limit. */
export const DEFAULT_READ_LIMIT = 500;
