/**
 * Shortest time between the order to stop and the end, so that the balancer has asked twice and
 * sends no more connections.
 */
export const MIN_DRAIN_MS = 2_600;

/** Interval at which a draining daemon looks whether requests are left. */
export const DRAIN_CHECK_MS = 100;

/** Time before the end of the grace period at which a draining daemon ends. */
export const GRACE_MARGIN_MS = 500;

/** Time for which closed idle connections may still deliver what was written. */
export const CLOSE_IDLE_GRACE_MS = 150;

/** Header bytes that the server accepts; the configuration's own bound is below it. */
export const MAX_HEADER_BYTES = 64 * 1024;

/** Body bytes that are accepted before the first configuration was read. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Bytes of request bodies that are held at a time; more requests are refused. */
export const MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024;

/** Unread bytes of one caller above which its stream is broken off. */
export const MAX_CALLER_BACKLOG_BYTES = 2 * 1024 * 1024;

/** Connections that wait to be accepted. */
export const LISTEN_BACKLOG = 1_024;
