/** Timeout of a request for the endpoint's health, load or cache events. */
export const ENGINE_PROBE_TIMEOUT_MS = 1_000;

/** Interval of the health and load polls; the figures on the engine's load page lag by more. */
export const ENGINE_POLL_MS = 200;

/** Maximum number of connections to the endpoint: one per running sequence, plus the polls. */
export const ENGINE_CONNECTIONS = 4_096;

/**
 * Maximum number of prefixes in a heartbeat. At 16 characters each, they keep the heartbeat within
 * its byte budget.
 */
export const MAX_PREFIXES = 32;

/** Maximum number of evidence rows, one per route and class; further pairs count as `other`. */
export const MAX_EVIDENCE_ROWS = 256;

/** Size limits of a status page or an error, of a service's answer, and of a chunk of a stream. */
export const MAX_PAGE_BYTES = 4 * 1024 * 1024;
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
export const MAX_CHUNK_BYTES = 1024 * 1024;
