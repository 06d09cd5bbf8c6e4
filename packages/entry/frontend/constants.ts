/** Estimated characters per token. Only admission uses the estimate, never billing. */
export const CHARACTERS_PER_TOKEN = 4;

/** Estimated tokens that an engine adds for each message of a chat. */
export const MESSAGE_OVERHEAD_TOKENS = 4;

/** Number of leading characters of a prompt whose hash identifies its cached prefix. */
export const PREFIX_CHARACTERS = 256;

/** Maximum unsent bytes of one stream. Above it the connection is closed; the caller can resume. */
export const MAX_CALLER_BACKLOG_BYTES = 1_048_576;

/** Interval at which a draining process checks whether its requests have ended. */
export const DRAIN_CHECK_MS = 100;

/** Grace period after the hand-over of streams, in which calls can finish. */
export const HAND_OVER_GRACE_MS = 5_000;

/** Maximum length of an `Idempotency-Key`, which is stored in each record of its chain. */
export const MAX_KEY_LENGTH = 256;

/** Maximum length of an accepted `X-Request-Id`, which is part of each log line of the request. */
export const MAX_REQUEST_ID_LENGTH = 128;

/**
 * Time in which a request must arrive whole. One that never does would keep its memory; a body of the
 * usual size limit takes 18 KB/s.
 */
export const REQUEST_TIMEOUT_MS = 60_000;
