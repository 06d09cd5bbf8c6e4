/**
 * Time without an opened link or a chunk after which a generation's endpoint counts as lost; equals
 * the timeout after which membership counts an endpoint as gone.
 */
export const RESUME_TIMEOUT_MS = 5_000;

/** Back-off before the second consecutive resume; the first is immediate, later ones double it. */
export const RESUME_BACKOFF_FIRST_MS = 50;

/** Upper limit of the back-off between two resumes. */
export const RESUME_BACKOFF_MAX_MS = 1_000;

/** Time without a reader after which a generation is cancelled at the engine. */
export const ORPHAN_TIMEOUT_MS = 10_000;

/**
 * Time during which an ended generation stays readable, so that a caller can fetch missed chunks.
 */
export const RETENTION_MS = 30_000;

/**
 * Maximum time without an acknowledgement while chunks are unacknowledged. A slower reader would
 * keep engine memory in use.
 */
export const SLOW_READER_TIMEOUT_MS = 15_000;

/**
 * Maximum number of chunks buffered per generation; with the byte limit, 100 streams use at most
 * 50 MB.
 */
export const BUFFER_MAX_CHUNKS = 4_096;

/** Maximum number of bytes buffered per generation. */
export const BUFFER_MAX_BYTES = 512 * 1_024;

/** Maximum number of unacknowledged chunks of a reader; it bounds the connection's backlog. */
export const READER_WINDOW_CHUNKS = 256;

/** Share of a buffer limit filled with unread chunks at which reading from the engine pauses. */
export const HIGH_WATERMARK = 0.5;

/** Share at which reading from the engine resumes; below the high watermark to avoid flapping. */
export const LOW_WATERMARK = 0.25;

/**
 * Maximum number of replaced streams recorded per generation; a caller rarely changes entry daemons
 * more than twice.
 */
export const MAX_REPLACED_STREAMS = 8;
