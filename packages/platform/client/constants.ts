/** Maximum size of a platform response; a log page of 1,000 records of 16 KiB fits. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Maximum number of records in one read of a stream when the caller sets no limit. */
export const DEFAULT_READ_LIMIT = 500;
