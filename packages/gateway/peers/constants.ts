/**
 * Interval between reports to the other daemons. With older loads, all daemons place their
 * requests on the same engines.
 */
export const REPORT_INTERVAL_MS = 80;

/** Age above which the load in a peer's last report no longer counts. */
export const MAX_PEER_LOAD_AGE_MS = 1_500;

/** Number of missed reports after which a peer no longer delays the transfers of others. */
export const MAX_MISSED_REPORTS = 4;

/** The same for the summary of another group. */
export const MAX_MISSED_SUMMARIES = 3;

/** Age of its last report above which a peer is removed. */
export const PEER_EXPIRY_MS = 15_000;

/**
 * Time for which a daemon that was heard of keeps its part of the limits that the fleet shares. It
 * still serves callers while it is paused or partitioned from the others, which lasts minutes.
 */
export const MEMBER_RETENTION_MS = 600_000;

/**
 * Interval between two summaries of a group to at most `SUMMARY_RECEIVERS` other groups. With more
 * of them it grows in proportion, up to a maximum within the age at which loads still count.
 */
export const SUMMARY_INTERVAL_MS = 160;
export const SUMMARY_RECEIVERS = 4;
export const MAX_SUMMARY_INTERVAL_MS = 800;

/** Time after a change in which summaries are sent every `SUMMARY_INTERVAL_MS` at any size. */
export const CHANGE_REPEAT_MS = 400;

/** Minimum interval between two summaries that are sent at once because something changed. */
export const MIN_SUMMARY_INTERVAL_MS = 40;

/** Age of its last report above which a daemon is not the leader of its group. */
export const LEADER_TIMEOUT_MS = 320;

/** Limit of the leaving endpoints in one report, and the time for which each is repeated. */
export const MAX_REPORTED_LEAVING = 16;
export const LEAVING_REPEAT_MS = 1_500;

/** Limit of the hosts in one report. */
export const MAX_REPORTED_HOSTS = 16;

/** Limit of the endpoints with a request limit in one report. */
export const MAX_REPORTED_LIMITS = 24;

/** Limit of the load rows in one report, so that it fits into one datagram. */
export const MAX_REPORTED_LOAD_ROWS = 40;

/**
 * Limits of the crashes and survivals in one report, and the time for which each is repeated. One
 * crash has a row for each request that the endpoint had not begun to answer.
 */
export const MAX_REPORTED_CRASHES = 12;
export const MAX_REPORTED_SURVIVALS = 12;
export const CRASH_REPEAT_MS = 3_000;

/**
 * Limit of the characters of all fingerprints in one report. A crash has a fingerprint for each part of
 * the prompt, and a report has to fit into a datagram of 64 KB with all else that it says.
 */
export const MAX_REPORTED_CRASH_CHARS = 24 * 1024;

/** Limit of the load rows and of the members in one summary. */
export const MAX_SUMMARY_LOAD_ROWS = 160;
export const MAX_SUMMARY_MEMBERS = 64;

/**
 * Interval at which reports include the crashes of all quarantines, and at which the seeds are
 * contacted by the leader of a group and by a daemon without peers.
 */
export const SEED_INTERVAL_MS = 1_000;
