/** Version of the messages between our processes. */
export const MESSAGE_FORMAT = 1;

/** Largest message between our processes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Room in a message beside its body; Node accepts at most 16 KiB of headers with their path. */
export const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

/** Time for which a resume ticket is good after its stream began. */
export const TICKET_LIFETIME_MS = 3_600_000;

/** Silence of a link after which it is probed. */
export const CONNECTION_PING_INTERVAL_MS = 1_000;

/** Time within which a probe must be answered, else the link counts as broken. */
export const CONNECTION_PING_TIMEOUT_MS = 1_000;

/** Time that peers get to end their links once a listener closes. */
export const CLOSE_GRACE_MS = 2_000;

/** Calls on one link at a time; every running stream holds one. */
export const MAX_CONCURRENT_STREAMS_PER_CONNECTION = 100_000;
