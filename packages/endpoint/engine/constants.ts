/** Time after which the engine's health page counts as unanswered. */
export const ENGINE_PROBE_TIMEOUT_MS = 1_000;

/** Period of the health and load polls; the engine's own figures lag by more. */
export const ENGINE_POLL_MS = 200;

/** Connections to the endpoint: one for each running sequence and the polls. */
export const ENGINE_CONNECTIONS = 4_096;

/** Prefixes that a heartbeat carries; 16 characters each keep it within its byte budget. */
export const MAX_PREFIXES = 32;

/** Routes and classes that evidence is kept for; further ones are added to `other`. */
export const MAX_EVIDENCE_ROWS = 256;
