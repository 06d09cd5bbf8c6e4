/** Interval between reports to the other daemons; placements by older loads crowd the same engines. */
export const REPORT_INTERVAL_MS = 80;

/** Age from which the load of a peer no longer counts. */
export const MAX_PEER_LOAD_AGE_MS = 1_500;

/** Reports that a peer has missed when it no longer holds up the transfers of others. */
export const MAX_MISSED_REPORTS = 4;

/** Age from which a peer no longer counts as one that shares a budget. */
export const PEER_EXPIRY_MS = 15_000;

/** Peers that get a report; at larger sizes each daemon reports to a part of the others. */
export const MAX_REPORT_TARGETS = 16;

/** Endpoints that leave in one report, and how long each is named. */
export const MAX_REPORTED_LEAVING = 16;
export const LEAVING_REPEAT_MS = 1_500;

/** Hosts named in one report. */
export const MAX_REPORTED_HOSTS = 16;

/** Rows of load in one report, so that it fits into one datagram. */
export const MAX_REPORTED_LOAD_ROWS = 40;

/** Crashes in one report, and how long each is repeated. */
export const MAX_REPORTED_CRASHES = 8;
export const CRASH_REPEAT_MS = 3_000;

/** Silent seeds are tried again at this interval. */
export const SEED_INTERVAL_MS = 1_000;
