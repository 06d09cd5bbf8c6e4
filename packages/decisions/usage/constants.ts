import type { Millis } from '../../core/clock.js';

/** Number of windows for which counts are kept, so that a new holder can collect what is missing. */
export const KEPT_WINDOWS = 8;

/**
 * Number of windows whose fixed counts are remembered. It is larger than `KEPT_WINDOWS`, so that a window
 * which was reported is not fixed anew after the time of day was stepped back.
 */
export const REMEMBERED_WINDOWS = 2 * KEPT_WINDOWS;

/** Time after the end of a window in which its last counts arrive. */
export const SETTLE_MS: Millis = 400;

/**
 * Share of the time in which a report is due for which the holder waits for daemons that have not
 * closed a window. The rest is for a holder that has to be replaced.
 */
export const MAX_COLLECT_SHARE = 0.35;

/** Sources of counts that are kept for one window, above which new ones are ignored. */
export const MAX_SOURCES = 2_000;
