import type { Millis } from '../core/clock.js';

/** Timeout from spawning a process to its readiness; a loaded machine needs several seconds. */
export const START_TIMEOUT_MS: Millis = 60_000;

/** Interval of a daemon's readiness checks. */
export const READY_POLL_MS: Millis = 50;

/** Timeout of requests to the instance list and to readiness pages. */
export const REQUEST_TIMEOUT_MS: Millis = 5_000;

/** Default drain time of the daemons, shorter than that of the settings for a fast stop. */
export const CLUSTER_DRAIN_MS: Millis = 10_000;

/** Time after the drain time at which a process that has not exited is sent SIGKILL. */
export const STOP_MARGIN_MS: Millis = 5_000;

/** Number of last stderr lines of a process that the error of a failed start includes. */
export const ERROR_OUTPUT_LINES = 12;

export const DEFAULT_DATA_CENTRES = ['dc-a', 'dc-b'] as const;
export const DEFAULT_ENTRY_DAEMONS = 2;
export const DEFAULT_ENGINES = 2;
export const DEFAULT_LEDGERS = 1;
export const DEFAULT_MODEL = 'standin';
export const DEFAULT_VERSION = 'v1';
export const LEDGER_SERVICE = 'ledger';
