/** Interval between two reads of the instance list, which lags by seconds anyway. */
export const LIST_POLL_MS = 1_000;

/** Maximum time that the log holds a long poll without new records. */
export const READ_WAIT_MS = 1_000;

/** Maximum number of records per read. */
export const READ_LIMIT = 500;

/** Delay after a failed read. During a log outage, each stream costs two requests per second. */
export const READ_RETRY_MS = 500;

/**
 * Bounds of one group commit, in records, bytes and milliseconds. The delay adds latency but saves
 * appends, whose rate the log limits.
 */
export const COMMIT_MAX_RECORDS = 128;
export const COMMIT_MAX_BYTES = 512 * 1_024;
export const COMMIT_MAX_DELAY_MS = 2;

/** Maximum appends in flight per stream; above 1, so that a lost answer doesn't block others. */
export const MAX_APPENDS_IN_FLIGHT = 4;

/** Maximum pending appends per stream; further ones are refused and their requests not run. */
export const MAX_PENDING_APPENDS = 4_096;

/** Interval of dropping expired keys, carrying chains forward and checking for due snapshots. */
export const UPKEEP_MS = 5_000;

/** Age of the oldest record that a chain needs at which the chain is carried forward. */
export const CARRY_FORWARD_AGE_MS = 3_600_000;

/** Timeout of one request to the log, excluding the wait of a long poll. */
export const LOG_TIMEOUT_MS = 2_000;

/** Timeout of reading a peer's configuration. */
export const PEER_TIMEOUT_MS = 2_000;

/** Age of the latest snapshot at which the next one is due, regardless of offsets. */
export const SNAPSHOT_MAX_AGE_MS = 3_600_000;

/** Timeout of one read of the instance list. */
export const LIST_TIMEOUT_MS = 2_000;
