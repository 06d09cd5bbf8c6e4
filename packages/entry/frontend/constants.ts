/** Common estimate of characters per token; only admission uses it, never billing. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens that an engine adds to each message of a chat. */
export const MESSAGE_OVERHEAD_TOKENS = 4;

/** Characters at the start of a prompt that name its cached prefix. */
export const PREFIX_CHARACTERS = 256;

/** Unsent bytes of one caller's stream above which its connection is closed; it can resume. */
export const CALLER_BACKLOG_BYTES = 1_048_576;

/** Period in which a draining process looks whether its requests have ended. */
export const DRAIN_CHECK_MS = 100;

/** Time after the hand-over of streams that calls get to end. */
export const HAND_OVER_MS = 5_000;

/** Longest `Idempotency-Key`; the key is part of each record of its chain. */
export const MAX_KEY_LENGTH = 256;

/** Longest `X-Request-Id` that is taken over; it is part of each log line of the request. */
export const MAX_REQUEST_ID_LENGTH = 128;
