/**
 * Minimum duration of a drain, in which the load balancer probes the readiness twice and then sends
 * no more connections.
 */
export const MIN_DRAIN_MS = 2_600;

/** Interval at which a draining daemon checks whether requests are in progress. */
export const DRAIN_CHECK_MS = 100;

/** Time for sending the last answers before the idle connections are closed. */
export const FINAL_ANSWER_GRACE_MS = 100;

/** Time for sending the last written bytes after the idle connections are closed. */
export const CLOSE_IDLE_GRACE_MS = 150;

/** Time before the end of the grace period at which the process ends, for late timers and its exit. */
export const EXIT_RESERVE_MS = 400;

/** Time before the end of the grace period at which a draining daemon answers what is left. */
export const GRACE_MARGIN_MS = FINAL_ANSWER_GRACE_MS + CLOSE_IDLE_GRACE_MS + EXIT_RESERVE_MS;

/**
 * Times that a daemon whose time for last answers is over reads on while answers are due, and time for
 * all of them. A request that waits behind another one needs up to three reads after its answer.
 */
export const MAX_LATE_READS = 32;
export const MAX_LATE_READS_MS = 30;

/** Header size limit of the server; `CallerLimits.maxHeaderBytes` is below it. */
export const MAX_HEADER_BYTES = 64 * 1024;

/** Body size limit until the first configuration is loaded. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Limit of the bytes that one caller has not read yet, besides that of all together. */
export const MAX_CALLER_BACKLOG_BYTES = 2 * 1024 * 1024;

/** Limit of the connections that wait to be accepted. */
export const LISTEN_BACKLOG = 1_024;

/** Limit of the request ids in the report on the requests that the end of the process cuts. */
export const MAX_LISTED_REQUESTS = 20;

/**
 * Time past its idle timeout after which the close of a connection counts as late: the process was
 * busy or paused, and the connection may have bytes of a request that have not been read.
 */
export const LATE_CLOSE_MS = 50;

/** Time beyond the stated idle timeout for which a connection stays open for a request on its way. */
export const IDLE_MARGIN_MS = 1_000;

/**
 * Limit of the open connections of callers, whatever the memory of the machine: each has some 5 KB in the
 * heap, whose size is fixed.
 */
export const MAX_CONNECTIONS = 4_000;

/** Descriptors that are no connections: the program's files, its output and its listeners. */
export const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors that callers may take; the rest is for connections to endpoints. */
export const CALLER_DESCRIPTOR_SHARE = 2 / 3;

/** Time after the answer to bytes that are no request, in which the caller can read it. */
export const UNREADABLE_LINGER_MS = 1_000;

/**
 * Limits of each listener for the pages about the daemon: connections, and the memory of connections, of
 * open requests and of bytes that are no request yet. A platform asks once a second, and a monitor every
 * few seconds. They are a part of the daemon's own memory.
 */
export const MAX_STATUS_CONNECTIONS = 48;
export const STATUS_MEMORY_BYTES = 1024 * 1024;
