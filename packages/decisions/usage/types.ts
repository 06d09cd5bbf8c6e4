import type { Millis } from '../../core/clock.js';
import type { CustomerId } from '../../core/ids.js';

/** Number of a window of the time of day: it begins at this multiple of the window's length. */
export type WindowNumber = number;

/** Requests of each customer that endpoints began to run. */
export type UsageCounts = ReadonlyMap<CustomerId, number>;

/** What one daemon counted in one window. */
export interface WindowUsage {
  readonly window: WindowNumber;
  /** `closed`: the daemon counts nothing more in the window. */
  readonly phase: 'open' | 'closed';
  readonly counts: UsageCounts;
}

/** Counts that one daemon sent, which replace its earlier ones of the same windows. */
export interface UsageMessage {
  readonly host: string;
  readonly incarnation: string;
  /** Rises with each message of an incarnation, so that a late one changes nothing. */
  readonly sequence: number;
  readonly windows: readonly WindowUsage[];
}

/** Counts of one window that were fixed; they are reported as they are from then on. */
export interface FixedWindow {
  readonly window: WindowNumber;
  readonly counts: UsageCounts;
}

/** Limits within which the counts of a window are collected and reported. */
export interface UsageTimes {
  readonly windowMs: Millis;
  /** Time after the end of a window within which its report is due. */
  readonly dueMs: Millis;
}
