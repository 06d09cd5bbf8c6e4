/** Format version of the messages between the daemons. */
export const MESSAGE_FORMAT = 1;

/** Largest message between the daemons, in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * Bytes of a message reserved for everything but its body. Node accepts at most 16 KiB of headers,
 * including the path.
 */
export const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

/** Validity of a resume ticket from the start of its stream, in milliseconds. */
export const TICKET_LIFETIME_MS = 3_600_000;

/** Idle time of a connection after which it is pinged. */
export const CONNECTION_PING_INTERVAL_MS = 1_000;

/** Time within which a ping must be answered; otherwise the connection counts as broken. */
export const CONNECTION_PING_TIMEOUT_MS = 1_000;

/** Grace period for peers to close their connections once a listener closes. */
export const CLOSE_GRACE_MS = 2_000;

/** Concurrent calls on one connection; every running stream occupies one. */
export const MAX_CONCURRENT_STREAMS_PER_CONNECTION = 100_000;
