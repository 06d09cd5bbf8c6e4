import type { Millis } from '../core/clock.js';

/** Time within which a process must serve and be ready; a loaded machine needs several seconds. */
export const START_TIMEOUT_MS: Millis = 60_000;

/** Time between two checks of a daemon's readiness. */
export const READY_POLL_MS: Millis = 50;

/** Time that a request to a stand-in or a readiness page may take. */
export const REQUEST_TIMEOUT_MS: Millis = 5_000;

/** Drain time in the settings of the daemons, shorter than their default so that a stop is quick. */
export const CLUSTER_DRAIN_MS: Millis = 10_000;

/** Time beyond the drain time after which a process is ended with SIGKILL. */
export const STOP_MARGIN_MS: Millis = 5_000;

/** Lines at the end of a process's error output that a failed start shows. */
export const ERROR_OUTPUT_LINES = 12;

export const DEFAULT_DATA_CENTRES = ['dc-a', 'dc-b'] as const;
export const DEFAULT_ENTRY_DAEMONS = 2;
export const DEFAULT_ENGINES = 2;
export const DEFAULT_LEDGERS = 1;
export const DEFAULT_MODEL = 'standin';
export const DEFAULT_VERSION = 'v1';
export const LEDGER_SERVICE = 'ledger';
