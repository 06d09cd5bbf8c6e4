/** Interim answers (1xx) before the answer to one request; an endpoint has no reason to send many. */
export const MAX_INTERIM_ANSWERS = 8;

/**
 * Received bytes that are not part of the body, beyond as many as the body has. The parser bounds
 * heads and trailers itself, but not the size field of a chunk.
 */
export const MAX_OVERHEAD_BYTES = 256 * 1024;
