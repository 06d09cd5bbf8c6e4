import {
  FEED_STALENESS_MARGIN_MS,
  MAX_PAUSE_SHARE,
  MIN_OPERATOR_WAIT_MS,
  MIN_REGISTRATIONS_PAUSE_MS,
  OPERATOR_PAUSE_MS,
  READ_SPACING_MS,
  REGISTRATIONS_WAIT_MS,
  STALLED_READ_MARGIN_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { ResumptionLimits } from '../../decisions/forwarding/resumption.js';
import type { FeedName, StalenessLimits } from '../types.js';

/** Values from which the intervals between reads are computed. */
export interface PacingInputs {
  /** Number of daemons that read the same feeds, including this one. */
  readonly daemons: number;
  readonly stalenessLimits: StalenessLimits;
}

const limitToRange = (value: Millis, min: Millis, max: Millis): Millis =>
  Math.max(min, Math.min(value, max));

/**
 * Computes the time for which the store may hold a long poll. A stalled connection is detected
 * only after it.
 *
 * @param feed - feed that is read
 * @param pacing - number of daemons and limits of staleness
 * @returns the time in milliseconds
 */
export const computeWait = (feed: FeedName, { daemons, stalenessLimits }: PacingInputs): Millis => {
  switch (feed) {
    case 'operator':
      return limitToRange(
        READ_SPACING_MS.operator * daemons,
        MIN_OPERATOR_WAIT_MS,
        stalenessLimits.outageMs - STALLED_READ_MARGIN_MS,
      );
    case 'registrations':
      return REGISTRATIONS_WAIT_MS;
    default:
      return assertNever(feed);
  }
};

/**
 * Computes the pause after a read that returned records.
 *
 * @param feed - feed that is read
 * @param pacing - number of daemons and limits of staleness
 * @returns the pause in milliseconds
 */
export const computePause = (
  feed: FeedName,
  { daemons, stalenessLimits }: PacingInputs,
): Millis => {
  switch (feed) {
    case 'operator':
      return OPERATOR_PAUSE_MS;
    case 'registrations':
      return limitToRange(
        READ_SPACING_MS.registrations * daemons,
        MIN_REGISTRATIONS_PAUSE_MS,
        stalenessLimits.leavingMs * MAX_PAUSE_SHARE,
      );
    default:
      return assertNever(feed);
  }
};

/**
 * Computes for how long a generation may still resume at an endpoint that gets no new requests. The
 * times within which the endpoint must get its last request count from the acknowledgement of the
 * store, so the longest time until this daemon learns of it is deducted.
 *
 * @param pacing - values from which the pauses between reads are computed
 * @returns the limits, from the instants at which this daemon learns
 */
export const computeResumptionLimits = (pacing: PacingInputs): ResumptionLimits => {
  const { dataCentreOutMs, leavingMs, outageMs } = pacing.stalenessLimits;
  return {
    leavingMs: leavingMs - computePause('registrations', pacing) - FEED_STALENESS_MARGIN_MS,
    dataCentreOutMs: dataCentreOutMs - outageMs,
  };
};
