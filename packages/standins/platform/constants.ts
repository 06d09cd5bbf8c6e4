import type { PlatformSettings } from './types.js';

/** Defaults of the options. */
export const DEFAULT_PLATFORM_SETTINGS: PlatformSettings = {
  appendsPerSecond: 400,
  retentionRecords: 1_000_000,
  retentionMs: 24 * 3_600_000,
  listLagMs: 500,
  appendDelayMs: 500,
  weightsPerSecond: 2,
  weightsBurst: 4,
};

/** Number of records that a read returns at most unless it sets a limit. */
export const DEFAULT_READ_LIMIT = 1_000;

/** Longest time for which a read may wait for a record. */
export const MAX_READ_WAIT_MS = 60_000;

/** Burst of append requests that the rate limit admits, as seconds of the append rate. */
export const APPEND_BURST_SECONDS = 0.25;

/** Time for which old instance lists are kept; longer than any lag that a test sets. */
export const LIST_HISTORY_MS = 120_000;
