import type { UncertainTime } from './uncertainTime.js';
import type { Millis } from '../../core/clock.js';
import type { FeedName, FeedPosition } from '../types.js';

/** Progress of this daemon in one feed. */
export type FeedState = {
  readonly failingSince: Millis | null;
  /** Instant at which the newest connection was opened on which the store did not answer. */
  readonly lastFailedAt: Millis;
  /** Time in which a removal may only mean that the store was unavailable or restored. */
  readonly uncertain: UncertainTime;
  /** Instant at which the newest load was sent. */
  readonly loadSentAt: Millis;
} & (
  | { readonly kind: 'loading' }
  | {
      readonly kind: 'following';
      readonly position: FeedPosition;
      /** Instant of the newest answer. */
      readonly readAt: Millis;
      /** Instant at which the newest read was sent. */
      readonly sentAt: Millis;
    }
);

export type FeedsState = Readonly<Record<FeedName, FeedState>>;

/** What a daemon has read of a feed. */
export interface NewestRead extends Pick<FeedState, 'failingSince' | 'lastFailedAt' | 'uncertain'> {
  /** Newest position whose records were applied; null before the first load. */
  readonly position: FeedPosition | null;
}

/**
 * What was read of each feed. It outlives the state of the child, so that a restarted child still
 * recognizes a restored store, and knows that registrations may be missing from it.
 */
export type NewestReads = Map<FeedName, NewestRead>;
