/** Period of reading the instance list; it lags by seconds anyway. */
export const LIST_POLL_MS = 1_000;

/** Longest time that the log holds a read without new records. */
export const READ_WAIT_MS = 1_000;

/** Records asked for in one read. */
export const READ_LIMIT = 500;

/** Pause after a failed read; with it a log outage costs two requests a second. */
export const READ_RETRY_MS = 500;

/** Bounds of one group commit. The delay trades latency for appends, of which the log takes few. */
export const COMMIT_MAX_RECORDS = 128;
export const COMMIT_MAX_BYTES = 512 * 1_024;
export const COMMIT_MAX_DELAY_MS = 2;

/** Appends under way for one stream; a lost answer must not hold up the others. */
export const MAX_APPENDS_IN_FLIGHT = 4;

/** Appends that wait for a group commit; more are refused, which costs their requests a not-run. */
export const MAX_PENDING_APPENDS = 4_096;

/** Period of dropping expired keys and of carrying others forward. */
export const UPKEEP_MS = 5_000;

/** Age of a chain's newest record after which it is carried forward. */
export const CARRY_AFTER_MS = 3_600_000;

/** Time limit of one request to the log, without the wait of a long poll. */
export const LOG_TIMEOUT_MS = 2_000;

/** Time limit of asking a peer for its configuration. */
export const PEER_TIMEOUT_MS = 2_000;

/** Age of the newest snapshot at which another is due, whatever the offsets. */
export const SNAPSHOT_MAX_AGE_MS = 3_600_000;

/** Time limit of one read of the instance list. */
export const LIST_TIMEOUT_MS = 2_000;
