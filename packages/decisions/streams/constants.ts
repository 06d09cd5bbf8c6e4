/**
 * Time without any sign of a generation after which its endpoint counts as dead; equals the gone
 * timer of membership.
 */
export const RESUME_TIMEOUT_MS = 5_000;

/** Delay before the second resume in a row; the first is immediate and later ones double it. */
export const RESUME_BACKOFF_FIRST_MS = 50;

/** Longest delay between two resumes. */
export const RESUME_BACKOFF_MAX_MS = 1_000;

/** Time without a reader after which a generation is cancelled at the engine. */
export const ORPHAN_TIMEOUT_MS = 10_000;

/** Time for which an ended generation stays readable, so that a caller can fetch a lost tail. */
export const RETENTION_MS = 30_000;

/** Time for which a reader may take nothing while chunks wait; longer, and it would hold engine memory. */
export const SLOW_READER_TIMEOUT_MS = 15_000;

/** Chunks kept per generation; with the byte bound this limits 100 streams to 50 MB. */
export const BUFFER_MAX_CHUNKS = 4_096;

/** Bytes kept per generation. */
export const BUFFER_MAX_BYTES = 512 * 1_024;

/** Chunks sent to a reader and not yet taken; bounds what waits in the connection. */
export const READER_WINDOW_CHUNKS = 256;

/** Share of the bound filled with unread chunks at which reading from the engine stops. */
export const PAUSE_SHARE = 0.5;

/** Share at which reading from the engine goes on; lower than the pause share to avoid flapping. */
export const CONTINUE_SHARE = 0.25;

/** Replaced streams remembered per generation; a caller rarely moves more than once or twice. */
export const REPLACED_STREAMS_KEPT = 8;
