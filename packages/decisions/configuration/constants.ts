/** Format of the records that this version writes and reads. */
export const CONTROL_FORMAT = 1 as const;

/** Raw records retained for peers slightly behind; a peer further behind receives a snapshot. */
export const MAX_RECENT_RECORDS = 256;

/** Maximum bytes of records in one heartbeat answer; the rest follows in the next answers. */
export const DELTA_MAX_BYTES = 4_096;

/** Fraction of the retained log; a snapshot is due when the newest one lies before this point. */
export const SNAPSHOT_DUE_FRACTION = 0.5;

/**
 * Records since the newest snapshot after which the next one is due. A log with retention by count
 * reveals its bound only once it has dropped the first record, too late for the first snapshot.
 */
export const SNAPSHOT_DUE_RECORDS = 1_000;
