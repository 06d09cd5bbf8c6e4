import type { PlatformSettings } from './types.js';

/** Values of the options that a caller leaves out. */
export const DEFAULT_PLATFORM_SETTINGS: PlatformSettings = {
  appendsPerSecond: 400,
  retentionRecords: 1_000_000,
  retentionMs: 24 * 3_600_000,
  listLagMs: 500,
  appendDelayMs: 500,
  weightsPerSecond: 2,
  weightsBurst: 4,
};

export const DEFAULT_READ_LIMIT = 1_000;

/** Longest time that a read waits for a record. */
export const MAX_READ_WAIT_MS = 60_000;

/** Share of a second whose appends may arrive at once. */
export const APPEND_BURST_SECONDS = 0.25;

/** History of the instance list, longer than any lag a test asks for. */
export const LIST_HISTORY_MS = 120_000;
