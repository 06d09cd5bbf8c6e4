/** Largest answer of the platform that is read; a log page of 1,000 records of 16 KiB fits. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Records asked for in one read of a stream when the caller names no number. */
export const DEFAULT_READ_LIMIT = 500;
