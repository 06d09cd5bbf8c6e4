import type { Millis } from '../../core/clock.js';
import type { LeaseRecord } from '../../decisions/leases/lease.js';
import type { FixedWindow, UsageCounts, WindowNumber } from '../../decisions/usage/types.js';
import type { FeedPosition } from '../types.js';

/** What the holder of the lease wrote last. */
export interface HolderRecord extends LeaseRecord {
  /** Newest window of which the report and all before it were accepted; null without one. */
  readonly reportedThrough: WindowNumber | null;
}

/** Records of the lease that a load returned. */
export interface LeaseSnapshot {
  /** End of the records, after which an append has to follow. */
  readonly position: FeedPosition;
  /** Null before the first holder. */
  readonly holder: HolderRecord | null;
  readonly windows: readonly FixedWindow[];
}

export type LeaseLoad =
  | { readonly kind: 'loaded'; readonly snapshot: LeaseSnapshot }
  | { readonly kind: 'failed'; readonly message: string };

/** Records that are appended together or not at all. */
export interface LeaseAppend {
  /** Position that the records have to follow. */
  readonly after: FeedPosition;
  readonly holder: HolderRecord;
  /** Counts that the append fixes; null for a renewal. */
  readonly fixed: FixedWindow | null;
  /** Window whose counts are no longer needed; null without one. */
  readonly dropped: WindowNumber | null;
}

export type LeaseAppendResult =
  | { readonly kind: 'appended'; readonly position: FeedPosition }
  /** Another record came first. */
  | { readonly kind: 'conflict' }
  /** The records may have been appended, or may still be while they follow the position. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Log in which the lease and the counts of its windows last. */
export interface LeaseLog {
  readonly load: () => Promise<LeaseLoad>;
  readonly append: (append: LeaseAppend) => Promise<LeaseAppendResult>;
}

/** Report of the counts of one window. */
export interface UsageReport {
  /** Name of the daemon that holds the lease. */
  readonly holder: string;
  /** Fencing token. */
  readonly term: number;
  readonly window: WindowNumber;
  readonly counts: UsageCounts;
  readonly timeoutMs: Millis;
}

export type UsageReportResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly status: number }
  /** The service may have accepted the report. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Service that receives the reports. */
export interface UsageService {
  readonly report: (report: UsageReport) => Promise<UsageReportResult>;
}
