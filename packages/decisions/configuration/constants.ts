/** Format of the records that this version writes and reads. */
export const CONTROL_FORMAT = 1 as const;

/** Raw records kept for peers that are a little behind; one further behind gets a snapshot. */
export const MAX_RECENT_RECORDS = 256;

/** Bytes of records in one heartbeat answer; the rest follows with the next ones. */
export const DELTA_MAX_BYTES = 4_096;

/** Share of the kept log behind which an entity's record makes a snapshot due. */
export const SNAPSHOT_DUE_FRACTION = 0.5;

/**
 * Records since the newest snapshot that make the next one due. A log that drops by count shows its
 * bound only after it has dropped the first record, so the first snapshot cannot wait for that.
 */
export const SNAPSHOT_DUE_RECORDS = 1_000;
