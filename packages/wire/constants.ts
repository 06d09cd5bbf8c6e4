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

/**
 * Concurrent calls on one connection; every running stream occupies one. Twice the requests that an
 * entry daemon runs by default. The memory for calls limits those of all connections together.
 */
export const MAX_CONCURRENT_STREAMS_PER_CONNECTION = 8_192;

/** Memory of one open call beyond its message: its stream, head, answer and the state of its handler. */
export const CALL_OVERHEAD_BYTES = 16 * 1024;

/**
 * Memory of a message in multiples of its size: it is received in blocks of up to twice its size, joined,
 * and decoded to values of which strings are copies.
 */
export const MESSAGE_COPIES = 3;

/** Memory of one field of a decoded message; an empty nested message takes two bytes on the wire. */
export const FIELD_OVERHEAD_BYTES = 256;

/** Time from the start of a call in which its message must arrive. */
export const MESSAGE_TIMEOUT_MS = 10_000;

/**
 * Size limit of the head of a call. Heads of the daemons are below 1 KiB; larger ones are refused by the
 * HTTP/2 session before they become objects.
 */
export const MAX_CALL_HEAD_BYTES = 4 * 1024;

/** Limit of the fields of a call's head; Node.js allows 128. */
export const MAX_CALL_HEAD_FIELDS = 32;

/** Size of the table of header fields that a peer may fill on each connection; the standard one. */
export const HEADER_TABLE_BYTES = 4 * 1024;

/** Memory in MB that Node.js allows the session of one connection beyond its calls. */
export const MAX_SESSION_MEGABYTES = 10;

/** Memory of one connection without calls and input: its socket and its HTTP/2 session. */
export const CONNECTION_OVERHEAD_BYTES = 20 * 1024;

/** Bytes that Node.js reads from a socket at one time, and that wait for their turn. */
export const MAX_INPUT_BYTES = 64 * 1024;

/** Memory for the calls of a listener, unless its daemon sets another. */
export const DEFAULT_CALLS_BYTES = 256 * 1024 * 1024;

/** Memory for the connections of a listener, unless its daemon sets another. */
export const DEFAULT_CONNECTIONS_BYTES = 64 * 1024 * 1024;

/** Memory for the input of the connections of a listener, unless its daemon sets another. */
export const DEFAULT_INPUT_BYTES = 64 * 1024 * 1024;

/** Bytes that one connection hands on to HTTP/2 before others do: some 200 of the smallest frames. */
export const INPUT_STEP_BYTES = 2 * 1024;

/**
 * Time after which a connection is closed whose session takes no more input. Node.js ends its reading
 * when a peer breaks the protocol or resets too many calls, and then does not notice that the peer goes.
 */
export const STALLED_INPUT_MS = 2_000;
