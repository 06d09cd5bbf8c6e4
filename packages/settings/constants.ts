import type { Millis } from '../core/clock.js';

/** Memory that a daemon may use: its own, 110 MB, and all that others can make it keep. */
export const DEFAULT_MEMORY_BYTES = 1_073_741_824;
/** Largest share of the memory that the sizes of a settings file may promise to one purpose. */
export const MAX_PROMISED_SHARE = 0.5;
/** Time that a stopping daemon waits for its running work. */
export const DEFAULT_DRAIN_MS: Millis = 30_000;
/** Largest request body of a caller, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Total size of the bodies of requests in progress, in bytes. */
export const DEFAULT_MAX_TOTAL_BODY_BYTES = 67_108_864;
/** Twice the 2,000 streams that one entry daemon has to carry. */
export const DEFAULT_MAX_REQUESTS = 4_096;
/** Waiting requests per class. */
export const DEFAULT_QUEUE_CAPACITY = 1_024;
/** Time for which an idempotency key is remembered: one day. */
export const DEFAULT_KEY_WINDOW_MS: Millis = 86_400_000;
/** Remembered idempotency keys without a time of issue. */
export const DEFAULT_MAX_UNTIMED_KEYS = 75_000;
/** Remembered idempotency keys with a time of issue. */
export const DEFAULT_MAX_TIMED_KEYS = 75_000;
/** Admission limit after a start, in concurrent sequences. */
export const DEFAULT_START_LIMIT = 2;
/** Largest admission limit, in concurrent sequences. */
export const DEFAULT_MAX_LIMIT = 256;
/** Tokens per running sequence that must be generated before the limit grows by one step. */
export const DEFAULT_EVIDENCE_TOKENS = 256;
/** Buffered chunks per generation. */
export const DEFAULT_MAX_CHUNKS = 65_536;
/** Total size of the buffered chunks of all generations, in bytes. */
export const DEFAULT_BUFFER_BYTES = 268_435_456;
/** Time for which a finished generation can be resumed. */
export const DEFAULT_BUFFER_RETENTION_MS: Millis = 60_000;
/** Time after which a generation without a reader is cancelled. */
export const DEFAULT_ORPHAN_TIMEOUT_MS: Millis = 10_000;
/** Total size of the stored answers, in bytes. */
export const DEFAULT_ANSWER_BYTES = 67_108_864;
/** Time for which an answer is stored. */
export const DEFAULT_ANSWER_RETENTION_MS: Millis = 600_000;
export const DEFAULT_HEARTBEAT_INTERVAL_MS: Millis = 500;
export const DEFAULT_LEASE_MS: Millis = 2_000;
/** Entry daemons that receive the heartbeats of one endpoint daemon. */
export const DEFAULT_SUBSET_SIZE = 4;
/** Minimum length of the secret that signs resume tickets, in characters. */
export const MIN_TICKET_KEY_LENGTH = 32;
/** Placement policy of an entry daemon whose settings specify none. */
export const DEFAULT_POLICY = {
  kind: 'predicted-headroom',
  choices: 4,
  horizonMs: 10_000,
  overflowProbability: 0.05,
  prefixWeight: 0.25,
} as const;
