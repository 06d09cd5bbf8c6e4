/**
 * Interval between reports to the other daemons. With older loads, all daemons place their
 * requests on the same engines.
 */
export const REPORT_INTERVAL_MS = 80;

/** Age above which the load in a peer's last report no longer counts. */
export const MAX_PEER_LOAD_AGE_MS = 1_500;

/** Number of missed reports after which a peer no longer delays the transfers of others. */
export const MAX_MISSED_REPORTS = 4;

/** Age of its last report above which a peer is removed and no longer shares the retry budget. */
export const PEER_EXPIRY_MS = 15_000;

/** Limit of the peers that receive a report; in a larger fleet they are chosen at random. */
export const MAX_REPORT_TARGETS = 16;

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

/** Interval at which reports also go to the seeds, including those that have not answered. */
export const SEED_INTERVAL_MS = 1_000;
