/** Format of the records that this version writes and reads. */
export const CONTROL_FORMAT = 1 as const;

/** Raw records kept for peers that are a little behind; one further behind gets a snapshot. */
export const RECENT_RECORDS = 256;

/** Bytes of records in one heartbeat answer; the rest follows with the next ones. */
export const DELTA_MAX_BYTES = 4_096;

/** Share of the kept log behind which an entity's record makes a snapshot due. */
export const SNAPSHOT_DUE_SHARE = 0.5;
